package endpoint

import "time"

// Limits on what an endpoint may send.
const (
	maximumReportBytes = 1 << 20   // of a load report or a page of cache events
	maximumEventBytes  = 256 << 10 // one SSE event, and so each of its lines
	maximumErrorBytes  = 16 << 10  // body of a refusal
)

// Limits on connections.
const (
	dialTimeout         = 2 * time.Second
	crashDialTimeout    = 350 * time.Millisecond // for which an instance tries to find out whether a service has crashed
	keepAliveInterval   = 5 * time.Second
	idleTimeout         = 2 * time.Second  // a pooled connection that was idle for longer is closed
	reportIdleTimeout   = 10 * time.Second // beyond the intervals at which reports are read
	idlePerEndpoint     = 8
	maximumHeaderBytes  = 64 << 10
	eventBufferBytes    = 1 << 10 // of each stream's reader of events
	streamBufferBytes   = 1 << 10
	expectContinueBound = time.Second
)

// Headers and paths of the engines' API.
const (
	headerGeneration = "Generation-Id"
	headerPriority   = "Priority"
	headerRequest    = "Request-Id"
	headerOutcome    = "Outcome"
	headerRetry      = "Retry-After" // in seconds, for which the endpoint asks to be sent nothing
	outcomeNotRun    = "notRun"
	generationsPath  = "/generations/"
	doneData         = "[DONE]"
)
