package answer

import "time"

// NoIndex is the index of an event that carries no token, such as usage.
const NoIndex = -1

// Limits on attempts, events, memory and background work.
const (
	answeredTokens             = 2        // tokens of a generation after which its engine counts as having survived the begin of the answer
	checkpointInterval         = 64       // tokens between two hashes that are kept for verifying a replay
	maximumGenerations         = 5        // generations of one answer that may have run, including the first
	maximumUnstartedDispatches = 16       // dispatches of one answer that are known not to have started
	maximumReconnects          = 5        // attempts to open a new connection to one generation without a token in between
	maximumReconnectFailures   = 2        // failed attempts in one call of reconnect; refusals by the engine itself don't count
	maximumTrailingEvents      = 4        // events read after the last token
	maximumBufferedBytes       = 64 << 20 // size of an answer that is delivered to its caller in one piece
	maximumDetached            = 4096     // answers that are kept for callers that left and may return
	maximumPendingCancels      = 1024     // generations that are cancelled in the background at the same time
	maximumDetailBytes         = 200      // length of an error text in a transition's detail
	originCallAttempts         = 5        // calls to the instance that issued a resume token
)

// Timeouts and pauses.
const (
	reconnectTimeout      = 2 * time.Second        // shortest timeout for the first byte of a resumed generation
	refusedReconnectPause = 250 * time.Millisecond // after the engine itself refused a new connection
	reconnectPause        = 50 * time.Millisecond  // after a failed attempt to open a new connection
	trailingTimeout       = 500 * time.Millisecond // for all events after the last token, and for reconnecting to read them
	unstartedRetryPause   = 20 * time.Millisecond  // after a dispatch that is known not to have started
	cancelTimeout         = 2 * time.Second        // of one cancellation attempt
	cancelTotalTimeout    = 10 * time.Second       // of all attempts to cancel one generation
	cancelRetryPause      = 500 * time.Millisecond // between two cancellation attempts
	originCallTimeout     = 2 * time.Second        // of one call to the instance that issued a resume token; also the longest wait for its result
	originCallPause       = 200 * time.Millisecond // after a failed call
	defaultGrace          = 5 * time.Second        // how long a generation is kept after its caller left
	defaultTokenLifetime  = 10 * time.Minute       // of a resume token
	maximumBudgetWait     = time.Minute            // longest wait for the retry budget
)

// Progress deadlines: how long a stream may deliver no token, derived from the observed token latencies.
const (
	defaultFirstTokenTimeout = 5 * time.Second // until enough latencies have been observed
	minimumFirstTokenTimeout = time.Second
	maximumFirstTokenTimeout = 30 * time.Second
	defaultNextTokenTimeout  = 2 * time.Second // until enough latencies have been observed
	minimumNextTokenTimeout  = 250 * time.Millisecond
	maximumNextTokenTimeout  = 10 * time.Second
	latencyQuantile          = 0.99 // of the observed latencies
	timeoutFactor            = 4    // timeout as a multiple of the latency at the quantile
	minimumLatencySamples    = 64   // latencies observed before the default timeout is replaced
	histogramWindowSamples   = 4096 // latencies in one window of a histogram
	histogramWindows         = 3    // windows that a histogram covers
	timeoutRefreshSamples    = 256  // latencies between two computations of the timeout
	histogramDigits          = 2    // significant decimal digits that a histogram keeps
	maximumLatencyEntries    = 1024 // entries with histograms of their own
)

// Retry budget.
const (
	successesPerRetry    = 10                    // successes needed for one retry
	minimumBudgetPause   = 20 * time.Millisecond // shortest pause between two checks of the budget
	maximumBudgetPause   = time.Second           // longest pause between two checks of the budget
	initialRetries       = 2                     // retries allowed before the first success
	budgetWindow         = 10 * time.Second      // period whose successes count
	budgetBuckets        = 10                    // buckets that the window is divided into
	maximumBudgetEntries = 1024                  // entries with a budget of their own
)
