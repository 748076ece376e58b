package load

import "time"

// Bounds of one run.
const (
	maximumRequests  = 2_000_000
	maximumOpen      = 20_000
	maximumRate      = 10_000 // requests/s
	maximumSeconds   = 24 * 3600
	maximumSamples   = 20 // descriptions of failures kept in a report
	maximumReasons   = 64
	maximumResumes   = 6 // connections tried for one cut answer
	maximumBodyBytes = 4 << 20
	maximumEventSize = 1 << 20 // bytes of one SSE event
)

// Time limits of one request.
const (
	answerTimeout  = 5 * time.Minute
	callTimeout    = 30 * time.Second
	silenceTimeout = 10 * time.Second // without a token, before the client resumes on a new connection
	resumeDelay    = 100 * time.Millisecond
	repeatDelay    = 50 * time.Millisecond // longest wait before a call is repeated elsewhere
	drainTimeout   = 2 * time.Minute       // for open requests after the last arrival
)

// Shape of the histograms, in microseconds.
const (
	histogramLowest  = 1
	histogramHighest = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
	gapBatch         = 64 // gaps gathered by an answer before they are recorded

)

// Times of the balancer's questions to instances.
const (
	readyInterval = 200 * time.Millisecond
	readyTimeout  = time.Second
)

const progressInterval = 200 * time.Millisecond
