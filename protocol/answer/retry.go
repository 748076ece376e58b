package answer

import (
	"errors"
	"fmt"
	"time"
)

// beforeRetry decides whether another generation may follow the lost one, and waits for its turn.
func (e *execution) beforeRetry(cause error) (Result, bool) {
	e.exclude()
	var at time.Time
	allowed := false
	if errors.Is(cause, ErrNotStarted) {
		at, allowed = e.afterUnstarted(cause)
	} else {
		at, allowed = e.afterLost()
	}
	if !allowed && !at.IsZero() {
		cause = fmt.Errorf("%w: %w", errBudget, cause)
	}
	if !allowed {
		return e.fail(cause, at), true
	}
	if err := pause(e.ctx, time.Until(at)); err != nil {
		return e.endWaiting(err), true
	}
	e.discard()
	// The former attempt started in time; the caller now waits for the rest, as long as for the answer itself.
	e.request.Ask.Deadline = e.request.Deadline
	e.runner.observer().Retried(e.request.ID, e.request.Entry, reasonOf(cause))
	return Result{}, false
}

// exclude keeps the next attempt off the endpoint that failed.
func (e *execution) exclude() {
	if e.place.endpoint.IsValid() {
		e.request.Ask.Exclude = append(e.request.Ask.Exclude, e.place.endpoint)
	}
}

// afterUnstarted allows another dispatch without the budget, because the former one cost no engine anything.
func (e *execution) afterUnstarted(cause error) (time.Time, bool) {
	e.unstarted++
	if refused, ok := errors.AsType[*RefusedError](cause); ok && refused.Final() {
		return time.Time{}, false
	}
	if e.unstarted >= maximumUnstarted {
		return time.Time{}, false
	}
	return time.Now().Add(unstartedPause), true
}

// afterLost allows another generation within the budget, where the caller has nothing yet or a replay can be verified.
func (e *execution) afterLost() (time.Time, bool) {
	e.lost++
	if e.lost >= maximumAttempts {
		return time.Time{}, false
	}
	if e.evidence.delivered > 0 && !e.replayable() {
		return time.Time{}, false
	}
	now := time.Now()
	return e.budget.Reserve(now, min(budgetWait, e.request.Deadline.Sub(now)))
}

// replayable reports whether a second generation can stand in for the one that the caller has a part of.
func (e *execution) replayable() bool {
	return e.request.Repeatable && len(e.request.Body) > 0 && !e.otherBody
}

// discard forgets what was held of the lost generation.
func (e *execution) discard() {
	e.held = nil
	e.heldBytes = 0
}

// endWaiting ends an answer that waited for a retry's turn.
func (e *execution) endWaiting(cause error) Result {
	if e.caller.Err() != nil {
		return e.end(StateCancelled, OutcomeCancelled, errCaller)
	}
	return e.fail(cause, time.Time{})
}
