package answer

import "time"

// NoIndex is the index of an event that carries no token, such as usage.
const NoIndex = -1

// Limits on one answer.
const (
	markInterval       = 64       // tokens between the sums kept for comparing a replay
	maximumAttempts    = 5        // generations that may have run, for one answer
	maximumUnstarted   = 16       // dispatches that certainly did not start, for one answer
	maximumFruitless   = 5        // new connections without a token between them
	maximumBroken      = 2        // failures in a row to open a new connection
	maximumTrailing    = 4        // events after the last token
	maximumHeldBytes   = 64 << 20 // of an answer that the caller takes in one piece
	maximumLingering   = 4096     // answers whose callers left, waiting for them to return
	maximumCancelling  = 1024     // generations being cancelled
	maximumDetailBytes = 200
	noticeTries        = 5
)

// Waits.
const (
	reopenTimeout    = 2 * time.Second        // for the first byte of a resumed generation
	refusedPause     = 250 * time.Millisecond // after an engine's own refusal of a new connection
	reopenPause      = 50 * time.Millisecond  // between failures to open a new connection
	trailingTimeout  = 500 * time.Millisecond // for what follows the last token
	unstartedPause   = 20 * time.Millisecond  // after a dispatch that certainly did not start
	cancelTimeout    = 2 * time.Second        // of one try
	cancelHorizon    = 10 * time.Second       // of all tries
	cancelPause      = 500 * time.Millisecond // between tries
	noticeTimeout    = 2 * time.Second
	noticePause      = 200 * time.Millisecond
	graceDefault     = 5 * time.Second
	tokenLifeDefault = 10 * time.Minute
	budgetWait       = time.Minute // longest wait for a retry's turn
)

// Progress deadlines.
const (
	firstDefault     = 5 * time.Second
	firstMinimum     = time.Second
	firstMaximum     = 30 * time.Second
	betweenDefault   = 2 * time.Second
	betweenMinimum   = 250 * time.Millisecond
	betweenMaximum   = 10 * time.Second
	paceQuantile     = 0.99
	paceFactor       = 4
	paceMinimumCount = 64   // observations before a distribution is used
	paceWindow       = 4096 // observations in one part of the distribution
	paceParts        = 3
	paceRefresh      = 256 // observations between recomputations
	paceDigits       = 2
	maximumPaces     = 1024 // entries with a distribution of their own
)

// Retry budget.
const (
	budgetCost     = 10                    // successes for each retry
	budgetPause    = 20 * time.Millisecond // shortest wait between looks at the budget
	budgetLook     = time.Second           // longest one
	budgetInitial  = 2                     // retries before any success
	budgetWindow   = 10 * time.Second
	budgetSlots    = 10   // parts of the window
	maximumBudgets = 1024 // entries with a budget of their own
)
