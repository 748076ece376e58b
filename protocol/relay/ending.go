package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/coordination/routing"
)

// endUnadmitted sets the result of a request that was granted no slot.
func (x *execution) endUnadmitted(err error) {
	x.result.Err = err
	if x.caller.Err() != nil {
		x.result.Outcome, x.result.Reason = OutcomeCallerLeft, ReasonCallerLeft
		return
	}
	x.result.Reason = ReasonNoSlot
	if refusal, ok := errors.AsType[*routing.RefusalError](err); ok {
		x.result.RetryAt = refusal.RetryAt
		if refusal.Reason == routing.ReasonDraining {
			x.result.Reason = ReasonClosing
		}
	}
	if x.isClosing() {
		x.result.Reason = ReasonClosing
	}
	if refusal, ok := errors.AsType[*quarantine.RefusalError](err); ok {
		x.result.Reason, x.result.RetryAt = ReasonQuarantined, refusal.RetryAt
	}
	x.setUnansweredOutcome()
}

// isClosing reports whether the request was ended because the instance closes.
func (x *execution) isClosing() bool { return errors.Is(context.Cause(x.ctx), errClosing) }

// endFailed sets the result of a request whose latest dispatch failed.
func (x *execution) endFailed(err error) {
	x.result.Err = err
	x.result.Reason = reasonOf(err)
	switch {
	case x.caller.Err() != nil:
		x.result.Outcome, x.result.Reason = OutcomeCallerLeft, ReasonCallerLeft
		return
	case x.isClosing():
		x.result.Reason = ReasonClosing
	case x.ctx.Err() != nil:
		x.result.Reason = ReasonDeadline
	case x.mayHaveRun == 0 && x.notRun > 0:
		x.result.Reason = ReasonRefused
	case x.mayHaveRun == 0 && x.unreached > 0:
		x.result.Reason = ReasonUnreached
	}
	x.setUnansweredOutcome()
}

// checkEnd returns an error if an answer whose end is marked by nothing but the end of its connection may have been broken off: its endpoint has
// crashed, which ends its connections in the same way, or has stopped work at the deadline.
func (x *execution) checkEnd(reply *Reply) error {
	x.result.End = EndFramed
	if !reply.Unframed {
		return nil
	}
	x.result.End = EndClosed
	if !time.Now().Before(x.request.Deadline.Add(-deadlineMargin)) {
		return errEndsAtDeadline
	}
	if x.runner.Endpoints.Crashed(x.ctx, x.result.Endpoint.Address) {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// checkStreamEnd is checkEnd for a stream. An unframed one that ends before its first event has been broken off, since each run makes an event.
func (x *execution) checkStreamEnd(reply *Reply) error {
	if reply.Unframed && x.result.Events == 0 && x.lastEvent == 0 {
		return io.ErrUnexpectedEOF
	}
	return x.checkEnd(reply)
}

// checkStop returns an error if the end of an unframed stream may be the stop of its run.
func (x *execution) checkStop(reply *Reply, stop stopState) error {
	if !reply.Unframed || stop == stopNotAsked {
		return nil
	}
	x.result.End = EndStopped
	return errStopped
}

// setUnansweredOutcome sets the outcome of a request that has no complete answer. An answer with an error status that an endpoint has given to
// an earlier dispatch is forwarded; without one the outcome is interrupted if a part of the answer was forwarded,
// unknown if an endpoint may have run the request, else not run.
func (x *execution) setUnansweredOutcome() {
	switch {
	case x.kept != nil && !x.result.Begun:
		x.deliverKept()
	case x.result.Begun:
		x.result.Outcome = OutcomeInterrupted
	case x.mayHaveRun > 0:
		x.result.Outcome = OutcomeUnknown
	default:
		x.result.Outcome = OutcomeNotRun
		x.result.RetryAt = x.retryAt(time.Now())
	}
}

// retryAt returns when the caller of the request, which was not run, should retry it.
func (x *execution) retryAt(now time.Time) time.Time {
	if x.result.Reason == ReasonClosing {
		return retryElsewhereAt(now, rand.Float64())
	}
	return retryAt(now, x.result.RetryAt, x.request.Priority, rand.Float64())
}
