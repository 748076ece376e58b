package call

import (
	"time"

	"dogwooddyke/coordination/claim"
)

// MaximumKeptBytes bounds the body of a response that is kept for repeats of its key.
const MaximumKeptBytes = 16 << 10

// MaximumKeyBytes bounds an idempotency key.
const MaximumKeyBytes = 255

// Limits on one call.
const (
	maximumKeptHeaderBytes = claim.MaximumResultBytes - MaximumKeptBytes - 1<<10
	maximumUnstarted       = 8 // dispatches that certainly did not start
	maximumLost            = 3 // dispatches that may have run, of a call that may be repeated
	relayBytes             = 32 << 10
)

// Waits.
const (
	unstartedPause = 20 * time.Millisecond // after a dispatch that certainly did not start
	unclaimedPause = time.Second           // before a caller should ask again when the log takes no claims
	budgetWait     = time.Second           // longest wait for a retry's turn
)
