package call

import (
	"context"
	"errors"

	"dogwooddyke/coordination/claim"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
)

// Reason is the cause of an outcome other than finished; it is a label of metrics.
type Reason string

// The reasons of this package; a call may also end with a routing.Reason.
const (
	ReasonNone          Reason = ""
	ReasonKeyMissing    Reason = "keyMissing"    // the entry requires a key
	ReasonKeyInvalid    Reason = "keyInvalid"    // the key is too long
	ReasonKeyReused     Reason = "keyReused"     // a different request has used the key
	ReasonKeyWindow     Reason = "keyWindow"     // the key was created outside the window in which keys are accepted
	ReasonNoClaim       Reason = "noClaim"       // the log accepted no claim before the deadline
	ReasonNotStarted    Reason = "notStarted"    // no service started the call
	ReasonNoResponse    Reason = "noResponse"    // the call may have reached a service, but no response came
	ReasonResponseCut   Reason = "responseCut"   // the call ran, but its response was incomplete
	ReasonResponseLarge Reason = "responseLarge" // an earlier call with the key ran, but its response was too large to store
	ReasonResultUnknown Reason = "resultUnknown" // an earlier call holds the key, and its result is unknown
	ReasonCallerLeft    Reason = "callerLeft"    // the caller disconnected
	ReasonDeadline      Reason = "deadline"      // the deadline of the call passed
)

// reasonRetryBudget is the reason when the retry budget allows no further dispatch of a repeatable call.
const reasonRetryBudget routing.Reason = "retryBudget"

// stage is the progress of a call; the outcome that the caller receives depends on it alone.
type stage uint8

const (
	stageRefused          stage = iota // not dispatched, and no other call holds the key
	stageNotStarted                    // dispatched, but no byte was sent or the service said that the call did not start
	stageDispatched                    // at least one byte of the call may have been sent
	stageAnswered                      // the head of the response was received
	stageComplete                      // the whole response was received
	stageClaimedElsewhere              // another call holds the key, and its result is unknown
)

// stageOutcomes maps each stage to the outcome that the caller receives.
var stageOutcomes = map[stage]answer.Outcome{
	stageRefused:          answer.OutcomeNotRun,
	stageNotStarted:       answer.OutcomeNotRun,
	stageDispatched:       answer.OutcomeUnknown,
	stageAnswered:         answer.OutcomeInterrupted,
	stageComplete:         answer.OutcomeFinished,
	stageClaimedElsewhere: answer.OutcomeUnknown,
}

// unclaimedResult holds the stage and the reason with which a call ends if it was not granted its key.
type unclaimedResult struct {
	stage  stage
	reason Reason
}

// unclaimedResults maps the state of a key to the result of a call that was not granted it.
var unclaimedResults = map[claim.State]unclaimedResult{
	claim.StateRunning:  {stageClaimedElsewhere, ReasonResultUnknown},
	claim.StateConflict: {stageRefused, ReasonKeyReused},
	claim.StateOutside:  {stageRefused, ReasonKeyWindow},
}

// reasonOf returns the reason of a call that ended at the given stage because of the given error.
func reasonOf(reached stage, cause error) Reason {
	if refusal, ok := errors.AsType[*routing.RefusalError](cause); ok {
		return Reason(refusal.Reason)
	}
	switch {
	case reached == stageComplete:
		return ReasonNone
	case errors.Is(cause, errCallerLeft):
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
