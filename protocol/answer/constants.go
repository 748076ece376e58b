package answer

import "time"

// NoIndex is the index of an event that carries no token, such as usage.
const NoIndex = -1

// Limits on one answer.
const (
	checkpointInterval       = 64       // tokens between the sums kept for comparing a replay
	maximumAttempts          = 5        // generations that may have run, for one answer
	maximumUnstarted         = 16       // dispatches that certainly did not start, for one answer
	maximumReconnects        = 5        // new connections without a token between them
	maximumReconnectFailures = 2        // failures in a row to open a new connection
	maximumTrailingEvents    = 4        // events after the last token
	maximumBufferedBytes     = 64 << 20 // of an answer that the caller takes in one piece
	maximumDetached          = 4096     // answers whose callers left, waiting for them to return
	maximumPendingCancels    = 1024     // generations being cancelled
	maximumDetailBytes       = 200
	originCallAttempts       = 5
)

// Waits.
const (
	reconnectTimeout      = 2 * time.Second        // for the first byte of a resumed generation
	refusedReconnectPause = 250 * time.Millisecond // after an engine's own refusal of a new connection
	reconnectPause        = 50 * time.Millisecond  // between failures to open a new connection
	trailingTimeout       = 500 * time.Millisecond // for what follows the last token
	unstartedRetryPause   = 20 * time.Millisecond  // after a dispatch that certainly did not start
	cancelTimeout         = 2 * time.Second        // of one try
	cancelTotalTimeout    = 10 * time.Second       // of all tries
	cancelRetryPause      = 500 * time.Millisecond // between tries
	originCallTimeout     = 2 * time.Second
	originCallPause       = 200 * time.Millisecond
	defaultGrace          = 5 * time.Second
	defaultTokenLifetime  = 10 * time.Minute
	maximumBudgetWait     = time.Minute // longest wait for a retry's turn
)

// Progress deadlines.
const (
	defaultFirstTokenTimeout = 5 * time.Second
	minimumFirstTokenTimeout = time.Second
	maximumFirstTokenTimeout = 30 * time.Second
	defaultNextTokenTimeout  = 2 * time.Second
	minimumNextTokenTimeout  = 250 * time.Millisecond
	maximumNextTokenTimeout  = 10 * time.Second
	latencyQuantile          = 0.99
	timeoutFactor            = 4
	minimumLatencySamples    = 64   // observations before a distribution is used
	histogramWindowSamples   = 4096 // observations in one part of the distribution
	histogramWindows         = 3
	timeoutRefreshSamples    = 256 // observations between recomputations
	histogramDigits          = 2
	maximumLatencyEntries    = 1024 // entries with a distribution of their own
)

// Retry budget.
const (
	successesPerRetry    = 10                    // successes for each retry
	minimumBudgetPause   = 20 * time.Millisecond // shortest wait between looks at the budget
	maximumBudgetPause   = time.Second           // longest one
	initialRetries       = 2                     // retries before any success
	budgetWindow         = 10 * time.Second
	budgetBuckets        = 10   // parts of the window
	maximumBudgetEntries = 1024 // entries with a budget of their own
)
