package call

import (
	"context"
	"errors"
	"net/http"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/state/catalogue"
)

// Runner carries calls to their ends; set the fields before the first use, then it is safe for concurrent use.
type Runner struct {
	Services Services
	Router   answer.Router
	Budget   *answer.RetryBudgets
	Claims   Claims
	Observer Observer // may be nil
}

// course is one call on its way; it is used by one goroutine.
type course struct {
	runner  *Runner
	request *Request
	sink    Sink
	caller  context.Context // ends when the caller leaves
	lasting context.Context // ends at the call's deadline only
	stage   stage
	slot    answer.Slot
	reply   *Response
	begun   bool
}

// Run carries a call to its end; the context ends when the caller leaves, which does not end a run that may not be repeated.
func (r *Runner) Run(ctx context.Context, request *Request, sink Sink) Result {
	caller, leave := context.WithDeadline(ctx, request.Deadline)
	defer leave()
	lasting, stop := context.WithDeadline(context.WithoutCancel(ctx), request.Deadline)
	defer stop()
	c := &course{runner: r, request: request, sink: sink, caller: caller, lasting: lasting}
	result := c.run()
	r.observer().Called(request, result)
	return result
}

func (r *Runner) observer() Observer {
	if r.Observer == nil {
		return noObserver{}
	}
	return r.Observer
}

func (c *course) run() Result {
	switch {
	case c.request.repeatable():
		return c.runFreely()
	case c.request.Key != "":
		return c.runKeyed()
	case c.request.Rule == catalogue.KeyRuleRequired:
		return c.refuse(ReasonKeyMissing)
	default:
		return c.runOnce()
	}
}

// runFreely runs a call that may be repeated.
func (c *course) runFreely() Result {
	if err := c.dispatch(c.caller, true); err != nil {
		return c.end(err)
	}
	err := c.relay(c.begin())
	return c.end(err)
}

// runOnce runs a call without a key: one dispatch that may have left.
func (c *course) runOnce() Result {
	if err := c.dispatch(c.lasting, false); err != nil {
		return c.end(err)
	}
	_, err := c.collect()
	return c.end(err)
}

// dispatch sends the call until a service answers or it may have run and may not be repeated.
func (c *course) dispatch(ctx context.Context, repeatable bool) error {
	for unstarted, lost := 0, 0; ; {
		if err := c.acquire(); err != nil {
			return err
		}
		err := c.send(ctx, repeatable)
		if err == nil {
			return nil
		}
		started := !errors.Is(err, answer.ErrNotStarted)
		if started {
			lost++
		} else {
			unstarted++
		}
		if !c.goesOn(err, repeatable, unstarted, lost) {
			return err
		}
		if waited := c.await(started); waited != nil {
			return waited
		}
		c.runner.observer().Redispatched(c.request, started)
	}
}

// acquire waits for a place; after failures, endpoints that failed are asked again when no other takes work.
func (c *course) acquire() error {
	ctx, cancel := context.WithDeadline(c.caller, c.request.Ask.Deadline)
	defer cancel()
	slot, err := c.runner.Router.Acquire(ctx, &c.request.Ask)
	refusal, refused := errors.AsType[*routing.RefusalError](err)
	if refused && refusal.Reason == routing.ReasonNoEndpoint && len(c.request.Ask.Exclude) > 0 {
		c.request.Ask.Exclude = nil
		slot, err = c.runner.Router.Acquire(ctx, &c.request.Ask)
	}
	if err != nil {
		return err
	}
	c.slot = slot
	return nil
}

// send dispatches once and notes how far the call has come.
func (c *course) send(ctx context.Context, repeatable bool) error {
	if err := c.caller.Err(); err != nil {
		c.release(routing.OutcomeCancelled)
		return err
	}
	reply, err := c.runner.Services.Do(ctx, c.slot.Endpoint(), c.request, repeatable)
	if err == nil && repeatable && failing(reply.Status) {
		_ = reply.Body.Close()
		err = &answer.RefusedError{Status: reply.Status}
	}
	if err == nil {
		c.reply = reply
		c.stage = stageAnswered
		return nil
	}
	c.request.Ask.Exclude = append(c.request.Ask.Exclude, c.slot.Endpoint())
	if !errors.Is(err, answer.ErrNotStarted) {
		c.stage = stageDispatched
		c.release(routing.OutcomeFailed)
		return err
	}
	c.stage = max(c.stage, stageUnstarted)
	if _, ok := errors.AsType[*answer.RefusedError](err); ok {
		c.release(routing.OutcomeRefused)
		return err
	}
	c.release(routing.OutcomeFailed)
	return err
}

// failing reports a response that says that the service is not able to answer now.
func failing(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// goesOn reports whether another dispatch may follow.
func (c *course) goesOn(err error, repeatable bool, unstarted, lost int) bool {
	if c.caller.Err() != nil || unstarted >= maximumUnstarted {
		return false
	}
	if refused, ok := errors.AsType[*answer.RefusedError](err); ok && refused.Final() {
		return false
	}
	if c.stage == stageDispatched {
		return repeatable && lost < maximumLost
	}
	return true
}

// await waits before another dispatch: for a retry's turn if the former one may have run.
func (c *course) await(started bool) error {
	if started {
		return c.awaitTurn()
	}
	timer := time.NewTimer(unstartedPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-c.caller.Done():
		return c.caller.Err()
	}
}

func (c *course) awaitTurn() error {
	retryAt, taken := c.runner.Budget.ForEntry(c.request.Entry).Take(c.caller, budgetWait)
	if !taken {
		return &routing.RefusalError{Reason: reasonBudget, RetryAt: retryAt}
	}
	return nil
}

func (c *course) release(outcome routing.Outcome) {
	if c.slot == nil {
		return
	}
	c.slot.Release(outcome, time.Now())
	c.slot = nil
}

// refuse ends a call that was not dispatched.
func (c *course) refuse(reason Reason) Result {
	return Result{ID: c.request.ID, Outcome: outcomes[stageRefused], Reason: reason}
}

// end gives the place back and tells the outcome of how far the call has come.
func (c *course) end(cause error) Result {
	if c.reply != nil {
		_ = c.reply.Body.Close()
	}
	result := Result{
		ID:      c.request.ID,
		Outcome: outcomes[c.stage],
		Reason:  reasonOf(c.stage, cause),
		Begun:   c.begun,
		Err:     cause,
	}
	if c.reply != nil {
		result.Status = c.reply.Status
	}
	if refusal, ok := errors.AsType[*routing.RefusalError](cause); ok {
		result.RetryAt = refusal.RetryAt
	}
	if c.stage == stageWhole {
		c.runner.Budget.ForEntry(c.request.Entry).RecordSuccess(time.Now())
		c.release(routing.OutcomeFinished)
	}
	if errors.Is(cause, errCaller) {
		c.release(routing.OutcomeCancelled)
	}
	c.release(routing.OutcomeFailed)
	return result
}
