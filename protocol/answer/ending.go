package answer

import (
	"context"
	"errors"
	"io"
	"time"

	"dogwooddyke/coordination/routing"
)

// readTrailing reads the events after the last token. If the stream breaks and the caller wants usage, readTrailing reconnects to
// read them.
func (e *execution) readTrailing() error {
	deadline := time.Now().Add(trailingTimeout)
	for range maximumTrailingEvents {
		ctx, cancel := context.WithDeadline(e.ctx, deadline)
		token, err := e.stream.Next(ctx)
		cancel()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil && (!e.request.IncludeUsage || e.filter.trailingPassed || e.reconnectTrailing() != nil) {
			return nil
		}
		if err != nil {
			continue
		}
		if verdict := e.filter.Accept(token); verdict != VerdictTrailing {
			e.reportDropped(verdict)
			continue
		}
		if err := e.deliver(token); err != nil {
			return err
		}
	}
	return nil
}

// reconnectTrailing opens a new connection to the generation to read the events after the last token.
func (e *execution) reconnectTrailing() error {
	e.closeStream()
	ctx, cancel := context.WithTimeout(e.ctx, trailingTimeout)
	defer cancel()
	stream, err := e.runner.Engines.Resume(ctx, e.location.endpoint, e.location.generation, e.filter.next)
	if err != nil {
		return err
	}
	e.stream = stream
	return nil
}

// finish ends an answer whose last token has been read, and delivers the tokens of a buffered answer.
func (e *execution) finish() Result {
	e.closeStream()
	now := time.Now()
	e.releaseSlot(routing.OutcomeFinished, now)
	e.budget.RecordSuccess(now)
	for _, token := range e.buffered {
		if err := e.sink.Deliver(token, ""); err != nil {
			return e.end(StateCancelled, OutcomeCancelled, errCallerLeft)
		}
	}
	e.evidence.delivered = e.filter.delivered
	return e.end(StateFinished, OutcomeFinished, nil)
}

// handleFailure abandons the generation that failed with the cause, or keeps it for a caller that left and may return. It returns the
// result and true if the answer has ended: its caller left, no slot was granted, its deadline has passed or it is too large to buffer.
func (e *execution) handleFailure(cause error) (Result, bool) {
	e.closeStream()
	if errors.Is(cause, errCallerLeft) || e.callerContext.Err() != nil {
		e.detachOrCancel()
		return e.end(StateCancelled, OutcomeCancelled, errCallerLeft), true
	}
	if e.slot == nil && !e.resumed {
		return e.fail(cause, time.Time{}), true
	}
	e.resumed = false
	e.abandonGeneration(cause)
	if e.ctx.Err() != nil {
		return e.fail(context.DeadlineExceeded, time.Time{}), true
	}
	if errors.Is(cause, errTooLarge) {
		return e.fail(cause, time.Time{}), true
	}
	return Result{}, false
}

// abandonGeneration releases the slot and cancels the generation if it may still be running.
func (e *execution) abandonGeneration(cause error) {
	now := time.Now()
	refused, ok := errors.AsType[*RefusedError](cause)
	if ok && refused.NotStarted {
		e.releaseSlot(routing.OutcomeRefused, now)
		return
	}
	e.releaseSlot(routing.OutcomeFailed, now)
	if !errors.Is(cause, ErrNotStarted) {
		e.runner.cancelInBackground(e.location)
	}
}

// releaseSlot releases the slot if the execution holds one.
func (e *execution) releaseSlot(outcome routing.Outcome, now time.Time) {
	if e.slot == nil {
		return
	}
	e.slot.Release(outcome, now)
	e.slot = nil
}

// fail ends an answer that can't be finished; its outcome states what is known about the generations that were dispatched.
func (e *execution) fail(cause error, retryAt time.Time) Result {
	outcome := e.evidence.outcome()
	state := StateInterrupted
	if outcome == OutcomeNotRun {
		state = StateRefused
	}
	if refusal, ok := errors.AsType[*routing.RefusalError](cause); ok && retryAt.IsZero() {
		retryAt = refusal.RetryAt
	}
	result := e.end(state, outcome, cause)
	result.RetryAt = retryAt
	return result
}

// end enters a final state and returns the result.
func (e *execution) end(state State, outcome Outcome, cause error) Result {
	result := Result{
		ID:        e.request.ID,
		Outcome:   outcome,
		Delivered: e.evidence.delivered,
		Attempts:  e.attempt,
		Err:       cause,
	}
	detail := ""
	if cause != nil {
		result.Reason = reasonOf(cause)
		detail = detailOf(cause)
	}
	if e.filter != nil && e.evidence.mayHaveRun {
		result.ResumeToken = e.resumeToken()
	}
	e.states.transition(state, detail)
	return result
}
