package answer

import "errors"

// ErrNotStarted reports that no byte reached the endpoint, or that the endpoint itself said that it did not start.
var ErrNotStarted = errors.New("generation not started")

// ErrUnknownGeneration reports that the engine does not have the generation.
var ErrUnknownGeneration = errors.New("generation unknown to the engine")

// Outcome is what a caller is told about a request that did not end as finished.
type Outcome string

// The outcomes that callers see.
const (
	OutcomeFinished    Outcome = "finished"
	OutcomeNotRun      Outcome = "notRun"
	OutcomeUnknown     Outcome = "unknown"
	OutcomeInterrupted Outcome = "interrupted"
	OutcomeCancelled   Outcome = "cancelled"
)
