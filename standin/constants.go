package standin

import "time"

// Bounds of what a stand-in takes and keeps.
const (
	maximumBody      = 4 << 20 // bytes
	maximumHeader    = 1 << 16 // bytes
	maximumCounted   = 1 << 18 // ids whose runs are counted
	maximumFaultTime = 24 * time.Hour
	maximumFaultUses = 1_000_000
	maximumLag       = 3600    // seconds
	maximumSlowness  = 1000    // factor
	maximumRateLimit = 1e6     // requests a second
	maximumReaders   = 64      // streams of one generation
	maximumOrders    = 1024    // fencing numbers kept
	maximumEvents    = 1000    // cache events in one answer
	maximumStreams   = 1 << 16 // of the log
	maximumPage      = 8 << 20 // bytes of records in one answer
	maximumRecords   = 10_000  // in one answer
	maximumInstances = 20_000  // on the list
	maximumChanges   = 100_000 // of the list that lag
	maximumWeights   = 4096    // models and versions that are counted
)

// Sizes where the configuration leaves them out.
const (
	defaultRecords = 200_000 // kept of each stream
	defaultPage    = 1000    // records in one answer
)

// Times of the stand-ins.
const (
	headerTimeout    = 10 * time.Second
	relistenInterval = 5 * time.Millisecond
	minimumPace      = time.Millisecond // between two looks at an engine's model
	slowBase         = time.Millisecond // that the slow fault multiplies where no latency is set
	pullRetry        = 100 * time.Millisecond
	maximumPoll      = 10 * time.Minute // that a read waits for a first record
	defaultRetention = time.Minute      // of finished generations
	crashTime        = 2 * time.Second  // from an engine's crash until it is back
)

// Headers of the wire formats.
const (
	headerGeneration = "Generation-Id"
	headerPriority   = "Priority"
	headerOutcome    = "Outcome"
	headerKey        = "Idempotency-Key"
	headerRequest    = "Request-Id"
	headerRetry      = "Retry-After"
)

const (
	outcomeNotRun  = "notRun"
	outcomeUnknown = "unknown"
)
