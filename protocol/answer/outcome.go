package answer

import (
	"errors"
	"net/http"
	"strconv"
)

// ErrNotStarted reports that no byte reached the endpoint, or that the endpoint itself said that it did not start.
var ErrNotStarted = errors.New("generation not started")

// ErrUnknownGeneration reports that the engine does not have the generation.
var ErrUnknownGeneration = errors.New("generation unknown to the engine")

// RefusedError is an engine's own answer to a start, other than 200.
type RefusedError struct {
	Status     int // HTTP
	Body       []byte
	NotStarted bool // the engine said that it did not start
}

// Error gives the status.
func (r *RefusedError) Error() string {
	return "engine answered " + strconv.Itoa(r.Status)
}

// Is makes a refusal that names itself one match ErrNotStarted.
func (r *RefusedError) Is(target error) bool {
	return target == ErrNotStarted && r.NotStarted
}

// Final reports whether other engines would refuse the same request too.
func (r *RefusedError) Final() bool {
	if !r.NotStarted || r.Status/100 != 4 {
		return false
	}
	switch r.Status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests, http.StatusNotFound:
		return false
	}
	return true
}

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

// evidence is what is known to have been done for a request.
type evidence struct {
	mayHaveRun bool // a byte of the request may have reached an engine that did not say that it did not start
	ran        bool // a token came back
	delivered  int  // tokens that the caller got
}

// outcome decides what a caller is told about a request that can't be finished.
func (e evidence) outcome() Outcome {
	switch {
	case e.delivered > 0 || e.ran:
		return OutcomeInterrupted
	case e.mayHaveRun:
		return OutcomeUnknown
	default:
		return OutcomeNotRun
	}
}
