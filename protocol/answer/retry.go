package answer

import (
	"errors"
	"fmt"
	"time"

	"dogwooddyke/internal/wait"
)

// prepareRetry decides whether another generation may follow the lost one, and waits for its turn.
func (e *execution) prepareRetry(cause error) (Result, bool) {
	e.excludeEndpoint()
	allowed := e.allowRedispatch
	if !errors.Is(cause, ErrNotStarted) {
		allowed = e.allowNewGeneration
	}
	retryAt, err := allowed(cause)
	if e.callerContext.Err() != nil {
		return e.end(StateCancelled, OutcomeCancelled, errCallerLeft), true
	}
	if err != nil {
		return e.fail(err, retryAt), true
	}
	e.discardBuffered()
	// The former attempt started in time; the caller now waits for the rest, as long as for the answer itself.
	e.request.Ask.Deadline = e.request.Deadline
	e.runner.observer().Retried(e.request.ID, e.request.Entry, reasonOf(cause))
	return Result{}, false
}

// excludeEndpoint keeps the next attempt off the endpoint that failed.
func (e *execution) excludeEndpoint() {
	if e.location.endpoint.IsValid() {
		e.request.Ask.Exclude = append(e.request.Ask.Exclude, e.location.endpoint)
	}
}

// allowRedispatch allows another dispatch without the budget, because the former one cost no engine anything.
func (e *execution) allowRedispatch(cause error) (time.Time, error) {
	e.unstartedDispatches++
	if refused, ok := errors.AsType[*RefusedError](cause); ok && refused.Final() {
		return time.Time{}, cause
	}
	if e.unstartedDispatches >= maximumUnstarted {
		return time.Time{}, cause
	}
	return time.Time{}, wait.For(e.ctx, unstartedRetryPause)
}

// allowNewGeneration allows another generation within the budget, where the caller has nothing yet or a replay can be verified. An error
// may come with the time to ask again.
func (e *execution) allowNewGeneration(cause error) (time.Time, error) {
	e.lostGenerations++
	if e.lostGenerations >= maximumAttempts {
		return time.Time{}, cause
	}
	if e.evidence.delivered > 0 && e.request.Repeatable && !e.replayable() && e.originals != nil {
		e.fetchOriginal()
	}
	if e.evidence.delivered > 0 && !e.replayable() {
		return time.Time{}, cause
	}
	retryAt, taken := e.budget.Take(e.ctx, min(maximumBudgetWait, time.Until(e.request.Deadline)))
	if !taken {
		return retryAt, fmt.Errorf("%w: %w", errBudgetExhausted, cause)
	}
	return time.Time{}, nil
}

// replayable reports whether a second generation can stand in for the one that the caller has a part of.
func (e *execution) replayable() bool {
	return e.request.Repeatable && len(e.request.Body) > 0 && !e.bodyDiffers
}

// discardBuffered forgets what was held of the lost generation.
func (e *execution) discardBuffered() {
	e.buffered = nil
	e.bufferedBytes = 0
}
