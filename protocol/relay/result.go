package relay

import (
	"errors"
	"time"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes of a request; they are labels of metrics.
const (
	OutcomeServed      Outcome = "served"      // the endpoint's whole answer was forwarded
	OutcomeFailed      Outcome = "failed"      // an answer of the endpoint with an error status was forwarded
	OutcomeNotRun      Outcome = "notRun"      // no endpoint ran the request, and none will
	OutcomeUnknown     Outcome = "unknown"     // an endpoint may have run the request, but no answer came
	OutcomeInterrupted Outcome = "interrupted" // the answer broke off after a part of it was forwarded
	OutcomeCallerLeft  Outcome = "left"        // the caller disconnected
)

// Reason is the cause of an outcome; it is a label of metrics.
type Reason string

// The reasons of outcomes.
const (
	ReasonNone           Reason = ""
	ReasonDeadline       Reason = "deadline"    // the deadline of the request passed
	ReasonRefused        Reason = "refused"     // every endpoint that was tried refused
	ReasonUnreached      Reason = "unreached"   // every endpoint that was tried was unreachable
	ReasonConnectionLost Reason = "broken"      // the connection to the endpoint failed
	ReasonSilent         Reason = "silent"      // the endpoint sent nothing in time
	ReasonInvalidAnswer  Reason = "spoiled"     // the bytes that came are no answer, or one that was not signed by the endpoint or was content-encoded
	ReasonUnproven       Reason = "unproven"    // the answer's status promises that the request has not run, and the endpoint did not say so
	ReasonGap            Reason = "gap"         // the events of the stream are not numbered consecutively
	ReasonStopped        Reason = "stopped"     // the run was stopped at its endpoint and could not continue
	ReasonClosing        Reason = "closing"     // the instance was stopped
	ReasonCallerLeft     Reason = "caller"      // the caller disconnected
	ReasonRetryBudget    Reason = "budget"      // the service's retry budget is exhausted
	ReasonNoSlot         Reason = "place"       // the router granted no slot
	ReasonVersion        Reason = "version"     // the version that began the stream is not known, or no endpoint of it takes work
	ReasonQuarantined    Reason = "quarantined" // a part of the request crashes endpoints
	ReasonInternal       Reason = "internal"    // a defect of the instance itself
)

// End is what ended the latest answer of an endpoint; it is a value of log lines.
type End string

// The ends of answers.
const (
	EndNone    End = ""
	EndFramed  End = "framed"  // the mark of its framing: its length, or its last chunk
	EndClosed  End = "closed"  // the end of its connection, the only mark of an answer without framing
	EndStopped End = "stopped" // as EndClosed, but after the instance had asked for the stop of the run, so the answer may not be whole
)

// Result describes how a request ended.
type Result struct {
	Outcome      Outcome
	Reason       Reason
	Status       int           // HTTP status of the latest answer of an endpoint; zero if none came
	RetryAt      time.Time     // when the caller should retry a request that was not run; zero if unknown
	Endpoint     Endpoint      // endpoint of the latest dispatch
	Dispatches   int           // number of dispatches
	Moves        int           // times that the run continued after it was moved or restored
	Restores     int           // times that the run continued after its stream had broken off
	Events       int           // number of events that were read for the caller
	LastEvent    int64         // id of the last event that was read for the caller, or that it had before; zero if there is none
	AdmittedAt   time.Time     // when the router first granted a slot; zero if it never did
	BegunAt      time.Time     // when the head of the answer was forwarded; zero if it was not
	LongestPause time.Duration // longest time between two events
	Begun        bool          // the head of the answer was forwarded
	End          End           // of the latest answer that ended without an error of its connection
	Phase        Phase         // in which the request ended
	LastEventAt  time.Time     // when the latest event was forwarded, or a buffered answer was whole; zero if neither has come
	UnsentBytes  int           // bytes of the answer that were held, or being sent, when the request ended
	Err          error         // error that ended the request; nil if there was none
}

var (
	errCallerLeft     = errors.New("caller left")
	errInvalidAnswer  = errors.New("answer is not signed by the endpoint, or is content-encoded")
	errGap            = errors.New("stream lacks an event")
	errUnnumbered     = errors.New("stream of numbered events has one without a number")
	errBodySize       = errors.New("body of the answer exceeds the size limit")
	errClosing        = errors.New("instance closes")
	errSilent         = errors.New("endpoint is silent")
	errEnded          = errors.New("run has ended")
	errStopped        = errors.New("run was stopped, so the end of its stream may be missing")
	errEndsAtDeadline = errors.New("unframed answer ended as its deadline passed")
	errBudget         = errors.New("retry budget of the service is exhausted")
)

// reasonOf returns the reason for an error; ReasonConnectionLost if no other reason applies.
func reasonOf(err error) Reason {
	switch {
	case err == nil:
		return ReasonNone
	case errors.Is(err, errCallerLeft):
		return ReasonCallerLeft
	case errors.Is(err, errClosing):
		return ReasonClosing
	case errors.Is(err, errInvalidAnswer), errors.Is(err, ErrMalformed):
		return ReasonInvalidAnswer
	case errors.Is(err, errUnproven):
		return ReasonUnproven
	case errors.Is(err, errGap), errors.Is(err, errUnnumbered):
		return ReasonGap
	case errors.Is(err, errStopped):
		return ReasonStopped
	case errors.Is(err, errEndsAtDeadline):
		return ReasonDeadline
	case errors.Is(err, errSilent):
		return ReasonSilent
	case errors.Is(err, errBudget):
		return ReasonRetryBudget
	default:
		return ReasonConnectionLost
	}
}
