package answer

import (
	"errors"
	"fmt"
	"time"

	"dogwooddyke/internal/wait"
)

// prepareRetry waits until another generation may be dispatched. If none may, or the caller leaves, it returns the answer's result and
// true.
func (e *execution) prepareRetry(cause error) (Result, bool) {
	e.excludeEndpoint()
	allow := e.allowRedispatch
	if !errors.Is(cause, ErrNotStarted) {
		allow = e.allowNewGeneration
	}
	retryAt, err := allow(cause)
	if e.callerContext.Err() != nil {
		return e.end(StateCancelled, OutcomeCancelled, errCallerLeft), true
	}
	if err != nil {
		return e.fail(err, retryAt), true
	}
	e.discardBuffered()
	// The queue deadline applies only to the first attempt, which was dispatched in time. A retry may wait in the queue until the
	// answer's own deadline, because the caller is waiting for the rest of the answer.
	e.request.Spec.Deadline = e.request.Deadline
	e.runner.observer().Retried(e.request.ID, e.request.Entry, reasonOf(cause))
	return Result{}, false
}

// excludeEndpoint excludes the endpoint that failed from the next attempt.
func (e *execution) excludeEndpoint() {
	if e.location.endpoint.IsValid() {
		e.request.Spec.Exclude = append(e.request.Spec.Exclude, e.location.endpoint)
	}
}

// allowRedispatch allows another dispatch without using the retry budget, because the previous one caused no load on an engine.
func (e *execution) allowRedispatch(cause error) (time.Time, error) {
	e.unstartedDispatches++
	if refused, ok := errors.AsType[*RefusedError](cause); ok && refused.Final() {
		return time.Time{}, cause
	}
	if e.unstartedDispatches >= maximumUnstartedDispatches {
		return time.Time{}, cause
	}
	return time.Time{}, wait.For(e.ctx, unstartedRetryPause)
}

// allowNewGeneration allows another generation within the retry budget, provided that the caller has no token yet or that a replay
// can be verified. With an error it may return the time at which a retry can be expected to be allowed.
func (e *execution) allowNewGeneration(cause error) (time.Time, error) {
	e.lostGenerations++
	if e.lostGenerations >= maximumGenerations {
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

// replayable reports whether a new generation from the request's body can replace the one that the caller has received in part.
func (e *execution) replayable() bool {
	return e.request.Repeatable && len(e.request.Body) > 0 && !e.bodyDiffers
}

// discardBuffered drops the buffered tokens of the lost generation.
func (e *execution) discardBuffered() {
	e.buffered = nil
	e.bufferedBytes = 0
}
