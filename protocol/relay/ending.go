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
	x.result.Err = x.causeOf(err)
	if x.callerLeft() {
		x.result.Outcome, x.result.Reason = OutcomeCallerLeft, ReasonCallerLeft
		return
	}
	x.result.Reason = ReasonNoSlot
	if refusal, ok := errors.AsType[*routing.RefusalError](err); ok {
		x.result.RetryAt = refusal.RetryAt
		switch refusal.Reason {
		case routing.ReasonDraining:
			x.result.Reason = ReasonClosing
		case routing.ReasonVersion:
			x.result.Reason = ReasonVersion
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

// callerLeft reports whether the caller has disconnected before the instance ended the request.
func (x *execution) callerLeft() bool { return x.caller.Err() != nil && !x.isClosing() }

// causeOf returns errClosing in place of an error that only follows from the end of the request by the instance.
func (x *execution) causeOf(err error) error {
	if x.isClosing() && (errors.Is(err, errClosing) || errors.Is(err, context.Canceled) || errors.Is(err, errCallerLeft)) {
		return errClosing
	}
	return err
}

// finish waits until the caller has the answer, and returns the bytes that were held for it.
func (x *execution) finish() {
	x.result.LastEventAt = x.lastEventAt
	answered := x.result.Outcome == OutcomeServed || x.result.Outcome == OutcomeFailed
	if answered {
		x.result.Phase = PhaseDelivering
	}
	cuttable, cut := context.WithCancelCause(x.caller)
	defer cut(nil)
	stop := context.AfterFunc(x.runner.Closed, func() { cut(errClosing) })
	defer stop()
	ctx, cancel := context.WithDeadline(cuttable, x.request.Deadline.Add(lateDelivery))
	defer cancel()
	if err := x.outbox.close(ctx); err != nil {
		x.endUndelivered(err, errors.Is(context.Cause(ctx), errClosing))
	} else if answered {
		x.result.Phase = PhaseDelivered
	}
	x.result.UnsentBytes = x.outbox.unsent()
	x.runner.Memory.Return(x.held)
}

// endUndelivered sets the result of a request whose caller has not taken all of the answer that is there: the caller has left or does not read, or
// the callers' connections are closed, or the answer could not be written.
func (x *execution) endUndelivered(err error, closed bool) {
	switch {
	case isPanic(err):
		x.result.Outcome, x.result.Reason, x.result.Err = OutcomeInterrupted, ReasonInternal, err
	case x.result.Outcome == OutcomeInterrupted && (closed || x.result.Reason == ReasonClosing): // ended for another reason before
	case closed:
		x.result.Outcome, x.result.Reason, x.result.Err = OutcomeInterrupted, ReasonClosing, errClosing
	default:
		x.result.Outcome, x.result.Reason, x.result.Err = OutcomeCallerLeft, ReasonCallerLeft, err
	}
}

// endFailed sets the result of a request whose latest dispatch failed.
func (x *execution) endFailed(err error) {
	x.result.Err = err
	x.result.Reason = reasonOf(err)
	switch {
	case x.callerLeft():
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

// checkEnd returns an error if an answer whose end is marked by nothing but the end of its connection may have been broken off: its endpoint's process
// has ended, which ends its connections in the same way, or has stopped work at the deadline. Another process may listen at the address by now.
func (x *execution) checkEnd(reply *Reply) error {
	x.result.End = EndFramed
	if !reply.Unframed {
		return nil
	}
	x.result.End = EndClosed
	if !time.Now().Before(x.request.Deadline.Add(-deadlineMargin)) {
		return errEndsAtDeadline
	}
	if !x.runner.Endpoints.Survives(x.ctx, x.result.Endpoint, x.request.AskPath) {
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
