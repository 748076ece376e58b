package relay

import (
	"errors"
	"time"
)

// Outcome says how a request ended for its caller.
type Outcome string

// The outcomes of a request; they are metrics labels.
const (
	OutcomeServed      Outcome = "served"      // the endpoint's whole answer was passed on
	OutcomeFailed      Outcome = "failed"      // the endpoint's own failure was passed on
	OutcomeNotRun      Outcome = "notRun"      // no endpoint ran it, and none will
	OutcomeUnknown     Outcome = "unknown"     // an endpoint may have run it; no answer came
	OutcomeInterrupted Outcome = "interrupted" // the answer broke off in the middle
	OutcomeCallerLeft  Outcome = "left"        // the caller left
)

// Reason is the cause of an outcome; it is a metrics label.
type Reason string

// The reasons for outcomes.
const (
	ReasonNone           Reason = ""
	ReasonDeadline       Reason = "deadline"  // the time was over
	ReasonRefused        Reason = "refused"   // each endpoint asked refused
	ReasonUnreached      Reason = "unreached" // no endpoint could be reached
	ReasonConnectionLost Reason = "broken"    // the connection to the endpoint broke
	ReasonSilent         Reason = "silent"    // the endpoint did not answer in time
	ReasonInvalidAnswer  Reason = "spoiled"   // the answer was not the endpoint's whole one
	ReasonGap            Reason = "gap"       // an event of the stream is missing
	ReasonCallerLeft     Reason = "caller"    // the caller left
	ReasonRetryBudget    Reason = "budget"    // no repeat is left to the service
	ReasonNoSlot         Reason = "place"     // no place for it
)

// Result says how a request ended, and what led there.
type Result struct {
	Outcome      Outcome
	Reason       Reason
	Status       int       // of the endpoint's answer; zero: none came
	RetryAt      time.Time // of a request that was not run; zero: not known
	Endpoint     Endpoint  // the latest one
	Dispatches   int       // dispatches
	Moves        int       // times that a run went on at another endpoint
	Restores     int       // times that it went on from a copy after its endpoint broke off
	Events       int       // passed on
	LastEvent    int64
	AdmittedAt   time.Time     // first admission to an endpoint
	BegunAt      time.Time     // when the answer began
	LongestPause time.Duration // longest between two events
	Begun        bool          // the caller has a part of the answer
	Err          error
}

var (
	errCaller  = errors.New("caller left")
	errSpoiled = errors.New("answer is not the endpoint's whole one")
	errGap     = errors.New("an event is missing")
	errSilent  = errors.New("endpoint is silent")
	errEnded   = errors.New("run has ended")
	errBudget  = errors.New("no repeat is left to the service")
)

// reasonOf names the cause of an error.
func reasonOf(err error) Reason {
	switch {
	case err == nil:
		return ReasonNone
	case errors.Is(err, errCaller):
		return ReasonCallerLeft
	case errors.Is(err, errSpoiled):
		return ReasonInvalidAnswer
	case errors.Is(err, errGap):
		return ReasonGap
	case errors.Is(err, errSilent):
		return ReasonSilent
	case errors.Is(err, errBudget):
		return ReasonRetryBudget
	default:
		return ReasonConnectionLost
	}
}
