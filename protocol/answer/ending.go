package answer

import (
	"context"
	"errors"
	"io"
	"time"

	"dogwooddyke/coordination/routing"
)

// readTrailing reads what follows the last token; a stream that ends early is asked for it once more when the caller wants usage.
func (e *execution) readTrailing() error {
	deadline := time.Now().Add(trailingTimeout)
	for range maximumTrailing {
		ctx, cancel := context.WithDeadline(e.ctx, deadline)
		token, err := e.stream.Next(ctx)
		cancel()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil && (!e.request.IncludeUsage || e.filter.trailed || e.reopenTrailing() != nil) {
			return nil
		}
		if err != nil {
			continue
		}
		if verdict := e.filter.Accept(token); verdict != VerdictTrailing {
			e.drop(verdict)
			continue
		}
		if err := e.deliver(token); err != nil {
			return err
		}
	}
	return nil
}

// reopenTrailing opens a new connection for what follows the last token.
func (e *execution) reopenTrailing() error {
	e.closeStream()
	ctx, cancel := context.WithTimeout(e.ctx, trailingTimeout)
	defer cancel()
	stream, err := e.runner.Engines.Resume(ctx, e.place.endpoint, e.place.generation, e.filter.next)
	if err != nil {
		return err
	}
	e.stream = stream
	return nil
}

// finish ends an answer whose last token has come.
func (e *execution) finish() Result {
	e.closeStream()
	now := time.Now()
	e.release(routing.OutcomeFinished, now)
	e.budget.RecordSuccess(now)
	for _, token := range e.held {
		if err := e.sink.Deliver(token, ""); err != nil {
			return e.end(StateCancelled, OutcomeCancelled, errCaller)
		}
	}
	e.evidence.delivered = e.filter.delivered
	return e.end(StateFinished, OutcomeFinished, nil)
}

// afterFailure leaves the generation behind, and ends the answer where no other one can help.
func (e *execution) afterFailure(cause error) (Result, bool) {
	e.closeStream()
	if errors.Is(cause, errCaller) || e.caller.Err() != nil {
		e.leave()
		return e.end(StateCancelled, OutcomeCancelled, errCaller), true
	}
	if e.slot == nil && !e.resumed {
		return e.fail(cause, time.Time{}), true
	}
	e.resumed = false
	e.abandon(cause)
	if e.ctx.Err() != nil {
		return e.fail(context.DeadlineExceeded, time.Time{}), true
	}
	if errors.Is(cause, errTooLarge) {
		return e.fail(cause, time.Time{}), true
	}
	return Result{}, false
}

// abandon gives the place back and cancels a generation that may be running.
func (e *execution) abandon(cause error) {
	now := time.Now()
	refused, ok := errors.AsType[*RefusedError](cause)
	if ok && refused.NotStarted {
		e.release(routing.OutcomeRefused, now)
		return
	}
	e.release(routing.OutcomeFailed, now)
	if !errors.Is(cause, ErrNotStarted) {
		e.runner.cancelLater(e.place)
	}
}

func (e *execution) release(outcome routing.Outcome, now time.Time) {
	if e.slot == nil {
		return
	}
	e.slot.Release(outcome, now)
	e.slot = nil
}

// fail ends an answer that can't be finished, with what is known to have been done.
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

// end enters a final state.
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
	e.life.move(state, detail)
	return result
}
