package call

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/prompt"
)

// Runner runs calls; it is safe for concurrent use once its fields are set.
type Runner struct {
	Services     Services
	Router       answer.Router
	RetryBudgets *answer.RetryBudgets
	Claims       Claims
	Quarantine   *quarantine.Exchange // may be nil: no call is kept back then
	Observer     Observer             // nil if nothing observes the calls
}

// execution is the state of one call while it runs; only one goroutine uses it.
type execution struct {
	runner   *Runner
	request  *Request
	sink     Sink
	caller   context.Context // done when the caller disconnects or at the call's deadline
	detached context.Context // done at the call's deadline only
	stage    stage
	slot     answer.Slot    // nil if the call has none
	endpoint netip.AddrPort // of the latest dispatch

	screening *quarantine.Screening
	response  *Response // nil until a response is received
	begun     bool      // the caller was sent the head of the response
}

// Run runs a call and sends its response to the sink. The context must be done when the caller disconnects; a call that may not be
// repeated and has been dispatched continues nevertheless.
func (r *Runner) Run(ctx context.Context, request *Request, sink Sink) Result {
	caller, cancelCaller := context.WithDeadline(ctx, request.Deadline)
	defer cancelCaller()
	detached, cancelDetached := context.WithDeadline(context.WithoutCancel(ctx), request.Deadline)
	defer cancelDetached()
	x := &execution{runner: r, request: request, sink: sink, caller: caller, detached: detached}
	x.screening = r.Quarantine.Screen(nil, prompt.PartOfRequest(request.Entry, request.Method, request.Path, request.Workspace, request.Body))
	defer x.screening.End()
	result := x.run()
	r.observer().Ended(request, result)
	return result
}

func (r *Runner) observer() Observer {
	if r.Observer == nil {
		return noObserver{}
	}
	return r.Observer
}

// run runs the call in the way that its method, key and key rule require.
func (x *execution) run() Result {
	switch {
	case x.request.repeatable():
		return x.runRepeatable()
	case x.request.Key != "":
		return x.runKeyed()
	case x.request.KeyRule == catalogue.KeyRuleRequired:
		return x.refuse(ReasonKeyMissing)
	default:
		return x.runOnce()
	}
}

// runRepeatable runs a call that may be dispatched more than once.
func (x *execution) runRepeatable() Result {
	if err := x.dispatch(x.caller, true); err != nil {
		return x.end(err)
	}
	err := x.relayBody(x.begin())
	return x.end(err)
}

// runOnce runs a call that has no key and may not be repeated: it is not dispatched again once a dispatch may have run.
func (x *execution) runOnce() Result {
	if err := x.dispatch(x.detached, false); err != nil {
		return x.end(err)
	}
	_, err := x.collect()
	return x.end(err)
}

// dispatch sends the call until a service responds or no further dispatch is allowed.
func (x *execution) dispatch(ctx context.Context, repeatable bool) error {
	for notStarted, uncertain := 0, 0; ; {
		if err := x.acquireAdmitted(); err != nil {
			return err
		}
		err := x.send(ctx, repeatable)
		if err == nil {
			return nil
		}
		x.noteCrash(err)
		mayHaveRun := !errors.Is(err, answer.ErrNotStarted)
		if mayHaveRun {
			uncertain++
		} else {
			notStarted++
		}
		if !x.mayRedispatch(err, repeatable, notStarted, uncertain) {
			return err
		}
		if waitErr := x.awaitRedispatch(mayHaveRun); waitErr != nil {
			return waitErr
		}
		x.runner.observer().Redispatched(x.request, mayHaveRun)
	}
}

// acquire waits for a slot at an endpoint. Endpoints at which a dispatch failed are tried again if no other endpoint is available.
func (x *execution) acquire() error {
	ctx, cancel := context.WithDeadline(x.caller, x.request.Spec.Deadline)
	defer cancel()
	slot, err := x.runner.Router.Acquire(ctx, &x.request.Spec)
	refusal, refused := errors.AsType[*routing.RefusalError](err)
	if refused && refusal.Reason == routing.ReasonNoEndpoint && len(x.request.Spec.Exclude) > 0 {
		x.request.Spec.Exclude = nil
		slot, err = x.runner.Router.Acquire(ctx, &x.request.Spec)
	}
	if err != nil {
		return err
	}
	x.slot = slot
	return nil
}

// send dispatches the call once and updates its stage.
func (x *execution) send(ctx context.Context, repeatable bool) error {
	if err := x.caller.Err(); err != nil {
		x.release(routing.OutcomeCancelled)
		return err
	}
	x.endpoint = x.slot.Endpoint()
	response, err := x.runner.Services.Do(ctx, x.endpoint, x.request, repeatable)
	if err == nil && repeatable && isUnavailable(response.Status) {
		_ = response.Body.Close()
		err = &answer.RefusedError{Status: response.Status}
	}
	if err == nil {
		x.response = response
		x.stage = stageAnswered
		return nil
	}
	x.request.Spec.Exclude = append(x.request.Spec.Exclude, x.slot.Endpoint())
	if !errors.Is(err, answer.ErrNotStarted) {
		x.stage = stageDispatched
		x.release(routing.OutcomeFailed)
		return err
	}
	x.stage = max(x.stage, stageNotStarted)
	if _, ok := errors.AsType[*answer.RefusedError](err); ok {
		x.release(routing.OutcomeRefused)
		return err
	}
	x.release(routing.OutcomeFailed)
	return err
}

// isUnavailable reports whether an HTTP status says that the service can't serve calls at present.
func isUnavailable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// mayRedispatch reports whether the call may be dispatched again after err.
func (x *execution) mayRedispatch(err error, repeatable bool, notStarted, uncertain int) bool {
	if x.caller.Err() != nil || notStarted >= maximumNotStarted {
		return false
	}
	if refused, ok := errors.AsType[*answer.RefusedError](err); ok && refused.Final() {
		return false
	}
	if x.stage == stageDispatched {
		return repeatable && uncertain < maximumUncertain
	}
	return true
}

// awaitRedispatch waits before the next dispatch: for the retry budget if the previous one may have run, else for a short pause.
func (x *execution) awaitRedispatch(mayHaveRun bool) error {
	if mayHaveRun {
		return x.awaitBudget()
	}
	timer := time.NewTimer(notStartedPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-x.caller.Done():
		return x.caller.Err()
	}
}

// awaitBudget waits until the entry's retry budget allows a retry, and returns a refusal if it doesn't within budgetTimeout.
func (x *execution) awaitBudget() error {
	retryAt, taken := x.runner.RetryBudgets.ForEntry(x.request.Entry).Take(x.caller, budgetTimeout)
	if !taken {
		return &routing.RefusalError{Reason: reasonRetryBudget, RetryAt: retryAt}
	}
	return nil
}

// release releases the slot if the call has one.
func (x *execution) release(outcome routing.Outcome) {
	if x.slot == nil {
		return
	}
	x.slot.Release(outcome, time.Now())
	x.slot = nil
}

// refuse ends a call that was not dispatched.
func (x *execution) refuse(reason Reason) Result {
	return Result{ID: x.request.ID, Outcome: stageOutcomes[stageRefused], Reason: reason}
}

// end closes the response, releases the slot and returns the result, whose outcome follows from the call's stage.
func (x *execution) end(cause error) Result {
	if x.response != nil {
		_ = x.response.Body.Close()
	}
	result := Result{
		ID:      x.request.ID,
		Outcome: stageOutcomes[x.stage],
		Reason:  reasonOf(x.stage, cause),
		Begun:   x.begun,
		Err:     cause,
	}
	if x.response != nil {
		result.Status = x.response.Status
	}
	if refusal, ok := errors.AsType[*routing.RefusalError](cause); ok {
		result.RetryAt = refusal.RetryAt
	}
	if x.stage == stageAnswered {
		x.noteCrash(cause)
	}
	if x.stage == stageComplete {
		x.screening.Answered(time.Now())
		x.runner.RetryBudgets.ForEntry(x.request.Entry).RecordSuccess(time.Now())
		x.release(routing.OutcomeFinished)
	}
	if errors.Is(cause, errCallerLeft) {
		x.release(routing.OutcomeCancelled)
	}
	x.release(routing.OutcomeFailed)
	return result
}
