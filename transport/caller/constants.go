package caller

import "time"

// Bounds and timeouts of the callers' listener.
const (
	maximumHeaderBytes = 64 << 10
	headerTimeout      = 10 * time.Second
	bodyTimeout        = 60 * time.Second
	idleTimeout        = 2 * time.Minute
	writeTimeout       = 20 * time.Second // of one write; a caller that takes nothing for so long has left
	maximumWholeBytes  = 16 << 20         // of an answer that is collected for a caller who wants it in one piece
	maximumKeyBytes    = 256              // of an API key
	maximumModels      = 4096
	maximumSeed        = 1<<53 - 1 // what JSON numbers hold exactly
)

// Headers that go with answers and refusals.
const (
	headerAnswer      = "Answer-Id"
	headerOutcome     = "Outcome"
	headerResume      = "Resume-Token"
	headerLastEvent   = "Last-Event-ID"
	headerShouldRetry = "X-Should-Retry" // the official clients obey it
	headerIdempotency = "Idempotency-Key"
)

// Codes of refusals by an instance that takes no work, beside those of routing.
const (
	codeNotReady = "notReady"
	codeFull     = "instanceFull"
)

// elsewherePause is when to ask again after such a refusal.
const elsewherePause = time.Second
