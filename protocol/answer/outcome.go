package answer

import (
	"errors"
	"net/http"
	"strconv"
)

// ErrNotStarted reports that no byte of the request reached the endpoint, or that the endpoint itself reported that it did not start
// the generation.
var ErrNotStarted = errors.New("generation not started")

// ErrUnknownGeneration reports that the engine does not have the generation.
var ErrUnknownGeneration = errors.New("generation unknown to the engine")

// RefusedError is an engine's response to a start request with an HTTP status other than 200.
type RefusedError struct {
	Status     int    // HTTP status code
	Body       []byte // response body
	NotStarted bool   // the engine reported that it did not start the generation
}

// Error returns a message with the HTTP status.
func (r *RefusedError) Error() string {
	return "engine answered with status " + strconv.Itoa(r.Status)
}

// Is reports whether target is ErrNotStarted and the engine reported that it did not start the generation.
func (r *RefusedError) Is(target error) bool {
	return target == ErrNotStarted && r.NotStarted
}

// Final reports whether other engines would refuse the same request too, so that a retry can't help.
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

// Outcome is the end of a request as reported to its caller.
type Outcome string

// The outcomes of a request.
const (
	OutcomeFinished    Outcome = "finished"    // the caller has the whole answer
	OutcomeNotRun      Outcome = "notRun"      // no engine ran the request
	OutcomeUnknown     Outcome = "unknown"     // an engine may have run the request
	OutcomeInterrupted Outcome = "interrupted" // an engine ran the request, but the answer can't be finished
	OutcomeCancelled   Outcome = "cancelled"   // the caller left
)

// evidence is what is known about the generations that were dispatched for a request.
type evidence struct {
	mayHaveRun bool // a byte of the request may have reached an engine, which has not reported the generation as not started
	ran        bool // an engine returned a token
	delivered  int  // tokens that the caller has
}

// outcome returns the outcome of a request that can't be finished.
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
