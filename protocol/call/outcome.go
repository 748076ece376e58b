package call

import (
	"context"
	"errors"

	"dogwooddyke/coordination/claim"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
)

// Reason says why a call did not finish; it is a metrics label.
type Reason string

// The reasons besides those of routing.
const (
	ReasonNone          Reason = ""
	ReasonKeyMissing    Reason = "keyMissing"    // the entry asks for a key
	ReasonKeyInvalid    Reason = "keyInvalid"    // the key is too long
	ReasonKeyReused     Reason = "keyReused"     // another request has used the key
	ReasonKeyWindow     Reason = "keyWindow"     // the key was made outside the window in which keys are honoured
	ReasonNoClaim       Reason = "noClaim"       // the log took no claim before the deadline
	ReasonNotStarted    Reason = "notStarted"    // no service took the call
	ReasonNoResponse    Reason = "noResponse"    // the call may have arrived, and nothing came back
	ReasonResponseCut   Reason = "responseCut"   // the call ran, and its response broke off
	ReasonResponseLarge Reason = "responseLarge" // the call ran before, and its response was too large to keep
	ReasonResultUnknown Reason = "resultUnknown" // an earlier call has the key, and its result is not known
	ReasonCallerLeft    Reason = "callerLeft"
	ReasonDeadline      Reason = "deadline"
)

// reasonBudget refuses another dispatch of a call that may be repeated.
const reasonBudget routing.Reason = "retryBudget"

// stage is how far a call has come; what the caller is told follows from it alone.
type stage uint8

const (
	stageRefused    stage = iota // not dispatched, and not claimed by another call
	stageUnstarted               // dispatched, but no byte left or the service said that it did not start
	stageDispatched              // a byte may have left
	stageAnswered                // the response has begun
	stageWhole                   // the response has ended
	stageTaken                   // another call has the key, and its result is not known
)

// outcomes decides what the caller is told.
var outcomes = map[stage]answer.Outcome{
	stageRefused:    answer.OutcomeNotRun,
	stageUnstarted:  answer.OutcomeNotRun,
	stageDispatched: answer.OutcomeUnknown,
	stageAnswered:   answer.OutcomeInterrupted,
	stageWhole:      answer.OutcomeFinished,
	stageTaken:      answer.OutcomeUnknown,
}

// stateEnd is how the state of a key ends a call that did not get it.
type stateEnd struct {
	stage  stage
	reason Reason
}

var stateEnds = map[claim.State]stateEnd{
	claim.StateRunning:  {stageTaken, ReasonResultUnknown},
	claim.StateConflict: {stageRefused, ReasonKeyReused},
	claim.StateOutside:  {stageRefused, ReasonKeyWindow},
}

// reasonOf names the cause of a call that ended at a stage.
func reasonOf(reached stage, cause error) Reason {
	if refusal, ok := errors.AsType[*routing.RefusalError](cause); ok {
		return Reason(refusal.Reason)
	}
	switch {
	case reached == stageWhole:
		return ReasonNone
	case errors.Is(cause, errCaller):
		return ReasonCallerLeft
	case reached == stageAnswered:
		return ReasonResponseCut
	case errors.Is(cause, context.DeadlineExceeded):
		return ReasonDeadline
	case errors.Is(cause, context.Canceled):
		return ReasonCallerLeft
	case reached == stageDispatched:
		return ReasonNoResponse
	default:
		return ReasonNotStarted
	}
}
