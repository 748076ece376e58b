package call

import (
	"time"

	"dogwooddyke/coordination/claim"
)

// MaximumKeptBytes limits the body of a response that is stored in the log to be replayed to later calls with the same key.
const MaximumKeptBytes = 16 << 10

// MaximumKeyBytes limits the length of an idempotency key.
const MaximumKeyBytes = 255

// Limits of one call.
const (
	maximumKeptHeaderBytes = claim.MaximumResultBytes - MaximumKeptBytes - 1<<10 // largest headers that are stored: what the body and the encoding leave of a claim's result
	maximumNotStarted      = 8                                                   // dispatches of one call that certainly did not start at a service
	maximumUncertain       = 3                                                   // dispatches of a repeatable call that may have run
	relayBufferBytes       = 32 << 10                                            // bytes read at once from a response that is forwarded
)

// Pauses and timeouts.
const (
	notStartedPause     = 20 * time.Millisecond // pause before the next dispatch if the previous one did not start
	unclaimedRetryDelay = time.Second           // time after which the caller is told to retry when the log accepts no claims
	budgetTimeout       = time.Second           // longest wait for the retry budget
)
