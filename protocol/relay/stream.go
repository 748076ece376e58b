package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"dogwooddyke/coordination/routing"
)

// sendStream dispatches a request whose events are forwarded as they are received, and continues its run at other endpoints if it is
// moved or restored.
func (x *execution) sendStream(d *Dispatch) error {
	defer x.endPause(false)
	for {
		d.ExpectedTokens = x.slot.Decision().ExpectedTokens
		d.Backup = x.chooseBackup()
		next, err := x.streamFrom(d)
		if err != nil || next == nil {
			x.dropAsked()
			return err
		}
		d = next
		x.dropReserved()
	}
}

// streamFrom forwards one endpoint's part of a stream. If the run was moved or can be restored, it returns the dispatch with which the
// run continues.
func (x *execution) streamFrom(d *Dispatch) (*Dispatch, error) {
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	silence := x.startSilenceTimer(d, cancel)
	defer silence.close()
	x.dispatchBegun, x.dispatchEvents = false, 0
	reply, err := x.send(ctx, d)
	if err != nil {
		x.finishSilence(silence, false)
		err = silence.cause(err)
		x.noteCrash(d, err, 0)
		wasPaused := x.paused != nil
		if next := x.continueUntaken(d, err, stopNotAsked); next != nil {
			return next, nil
		}
		if wasPaused && isNotRun(err) {
			err = errStopped
		}
		x.endBeforeRepeat(d, err)
		return nil, x.handleStreamFailure(d, err)
	}
	defer func() { _ = reply.Body.Close() }()
	if failure := x.streamFailure(reply); failure != nil {
		silence.close()
		stop := stopNotAsked
		if reply.Signed && !IsSuccess(reply.Status) {
			stop = stopped // an endpoint that answers so does not work on the run
		}
		if next := x.continueUntaken(d, failure, stop); next != nil {
			return next, nil
		}
		return nil, x.handleInvalidStream(d, reply, failure)
	}
	x.dispatchBegun = true
	m := x.startMover(d, cancel)
	err = x.relayEvents(reply, silence)
	complete := err == nil && !reply.Unframed
	x.finishSilence(silence, complete)
	if !complete && x.ctx.Err() == nil {
		x.result.Phase = PhaseBetween
	}
	move, stop := m.finish(complete)
	if err == nil && move == nil {
		err = x.checkStop(reply, max(stop, silence.runStop))
	}
	switch {
	case err == nil && move == nil:
		x.endPause(true)
		x.release(routing.OutcomeFinished)
		x.result.Outcome = OutcomeServed
		x.screening.Answered(time.Now())
		return nil, nil
	case errors.Is(err, errCallerLeft) || x.caller.Err() != nil:
		move.discard(x)
		x.release(routing.OutcomeCancelled)
		return nil, errCallerLeft
	case move != nil:
		if next := x.continueMoved(d, move); next != nil {
			return next, nil
		}
		return nil, x.handleStreamFailure(d, errStopped)
	}
	err = silence.cause(err)
	x.noteCrash(d, err, x.dispatchEvents)
	if next := x.continueElsewhere(d, err, stop, m.part); next != nil {
		return next, nil
	}
	return nil, x.handleStreamFailure(d, err)
}

// relayEvents forwards events until the stream ends; it skips those that the caller has already received.
func (x *execution) relayEvents(reply *Reply, silence *silenceTimer) error {
	e := newEventReader(reply.Body)
	numbers := numbering{}
	for {
		silence.reset()
		found, err := e.next()
		silence.stop()
		if errors.Is(err, io.EOF) {
			err = x.checkStreamEnd(reply)
		}
		if err == nil && found.data == nil {
			// Even a caller that resumes after the last event needs the head of the answer to see the stream end.
			return x.passHead(reply.Status, reply.Header)
		}
		if err != nil {
			return err
		}
		if !found.hasID && !found.comment && x.lastEvent > 0 {
			return errUnnumbered
		}
		if !numbers.follows(found) {
			return errGap
		}
		if found.hasID && found.id <= x.lastEvent && x.lastEvent > 0 {
			continue
		}
		if found.hasID && x.lastEvent > 0 && found.id != x.lastEvent+1 {
			return errGap
		}
		if err := x.passHead(reply.Status, reply.Header); err != nil {
			return err
		}
		if !found.comment {
			x.noteEvent(x.result.Endpoint.Version)
		}
		if err := x.outbox.put(x.ctx, found.data); err != nil {
			return err
		}
		if found.hasID {
			x.lastEvent = found.id
			x.result.LastEvent = found.id
			x.receivedEvent.Store(found.id)
		}
		x.countEvent()
	}
}

// countEvent counts one forwarded event and its tokens.
func (x *execution) countEvent() {
	stride := 1
	if x.request.Engine != nil {
		stride = x.request.Engine.Stride
	}
	now := time.Now()
	if x.result.Events > 0 {
		x.result.LongestPause = max(x.result.LongestPause, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
	x.result.Events++
	x.endPause(true)
	if x.dispatchEvents++; x.dispatchEvents == answeredEvents {
		x.screening.Begun(now)
	}
	x.passedTokens.Add(int32(stride))
	x.slot.RecordTokens(stride, now)
}

// streamFailure returns why an answer is not a signed and unencoded stream with a success status; nil if it is one.
func (x *execution) streamFailure(reply *Reply) error {
	if err := x.checkReply(reply); err != nil {
		return err
	}
	if !IsSuccess(reply.Status) {
		return &statusError{reply.Status}
	}
	return nil
}

// handleInvalidStream handles an answer that is no stream. An endpoint's own answer with an error status is forwarded if no retry is allowed.
func (x *execution) handleInvalidStream(d *Dispatch, reply *Reply, failure error) error {
	x.endPause(false)
	x.exclude(d.Endpoint.Address)
	x.release(routing.OutcomeFailed)
	if _, failed := errors.AsType[*statusError](failure); !failed || x.result.Begun {
		return failure
	}
	body, err := x.readBody(reply)
	if err != nil {
		return err
	}
	x.noteAnswer(reply)
	x.keep(reply, body)
	if x.shouldRetry(failure) {
		x.run()
		return nil
	}
	x.deliverKept()
	return nil
}

// handleStreamFailure releases the slot after a stream that broke off, and returns the cause.
func (x *execution) handleStreamFailure(d *Dispatch, err error) error {
	if x.callerLeft() {
		x.release(routing.OutcomeCancelled)
		return errCallerLeft
	}
	x.exclude(d.Endpoint.Address)
	x.release(slotOutcome(err))
	return err
}
