package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/evacuation"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
	"dogwooddyke/state/route"
)

// Router gives places on endpoints; its errors may be *routing.RefusalError.
type Router interface {
	Acquire(ctx context.Context, ask *routing.Ask) (*routing.Slot, error)
	Place(ask *routing.Ask) (*routing.Slot, error)
}

// Roster finds the endpoint's start at an address.
type Roster interface {
	At(service string, address netip.AddrPort) (Place, bool)
}

// Turns decides in which order runs are copied off an endpoint that leaves.
type Turns interface {
	// Enter notes a run with a function that tells the tokens that it holds; leave forgets it.
	Enter(at Place, id string, memory func() int) (leave func())
	// Turn plans when a run is copied.
	Turn(r *Request, from Place, noticed, latest time.Time) evacuation.Plan
	// Clear tells whether all runs that go before one have left.
	Clear(r *Request, from Place) bool
}

// Observer hears of decisions; its methods must be quick.
type Observer interface {
	// Dispatched hears of each sending.
	Dispatched(d *Dispatch, sent int)
	// Repeated hears why a request is sent once more, or why not.
	Repeated(r *Request, place Place, cause error, allowed bool)
	// Moved hears of each attempt to move a run.
	Moved(r *Request, from, to netip.AddrPort, c Copy, last bool, began time.Time, err error)
}

// Runner carries requests to their ends; set the fields before the first use, then it is safe for concurrent use.
type Runner struct {
	Endpoints Endpoints
	Router    Router
	Roster    Roster
	Budgets   *Budgets
	Turns     Turns
	Allowance func() Allowance
	Observer  Observer

	background conc.WaitGroup // what goes on after an answer; it ends soon
}

// course is one request on its way; it is used by one goroutine, but for the mover of its present run.
type course struct {
	runner  *Runner
	request *Request
	sink    Sink
	caller  context.Context // ends when the caller leaves
	ctx     context.Context // ends also at the deadline
	ask     routing.Ask
	slot    *routing.Slot
	result  Result
	lost    int          // dispatches that did not get as far as an endpoint
	unrun   int          // dispatches that endpoints did not run
	ran     int          // dispatches that may have run
	last    int64        // id of the last event that the caller has
	heard   time.Time    // when the latest event came
	passed  atomic.Int32 // tokens passed on
}

// Run carries a request to its end; the context ends when the caller leaves.
func (r *Runner) Run(ctx context.Context, request *Request, sink Sink) Result {
	bounded, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	c := &course{runner: r, request: request, sink: sink, caller: ctx, ctx: bounded, last: request.After}
	c.result.LastEvent = request.After
	c.ask = routing.Ask{
		ID:            request.ID,
		Entry:         request.Service,
		Workspace:     request.Workspace,
		Class:         request.Route.Name,
		Priority:      request.Priority,
		PromptTokens:  request.Prompt,
		MaximumTokens: request.Output,
		Deadline:      latestStart(request),
	}
	if request.Engine != nil && request.Engine.Moves {
		c.ask.Movable = movable(request)
	}
	r.Budgets.Of(request.Service).Asked(r.Allowance().Window, time.Now())
	c.run()
	return c.result
}

// Wait returns when what goes on after the answers has ended.
func (r *Runner) Wait() { r.background.Wait() }

// latestStart is when a request must have been sent to be of use.
func latestStart(r *Request) time.Time {
	part := planFraction
	if r.Route.Kind == route.KindStream {
		part = waitFraction
	}
	return r.Arrived.Add(time.Duration(part * float64(r.Deadline.Sub(r.Arrived))))
}

// movable counts the runs like this one that can be copied off an endpoint between its notice and its end.
func movable(r *Request) int {
	link := evacuation.Link{TokenBytes: r.Engine.TokenBytes, BitsPerSecond: r.Engine.LinkBits, Slowdown: 1}
	span := link.CopyTime(r.Prompt + r.Output/usualPart)
	if span <= 0 {
		return 0
	}
	return max(int(evacuation.LatestStop/span), 1)
}

// run sends the request until an answer is passed on or no further dispatch is allowed.
func (c *course) run() {
	for {
		if err := c.acquire(); err != nil {
			c.endUnplaced(err)
			return
		}
		err := c.attempt()
		if err == nil {
			return
		}
		if !c.again(err) {
			c.endFailed(err)
			return
		}
	}
}

// acquire waits for a place; endpoints that refused are asked again after a pause when no other takes work.
func (c *course) acquire() error {
	slot, err := c.runner.Router.Acquire(c.ctx, &c.ask)
	if refusal, is := errors.AsType[*routing.RefusalError](err); is && refusal.Reason == routing.ReasonNoEndpoint && len(c.ask.Exclude) > 0 {
		if err := wait.For(c.ctx, c.pause()); err != nil {
			return err
		}
		c.ask.Exclude = nil
		slot, err = c.runner.Router.Acquire(c.ctx, &c.ask)
	}
	if err != nil {
		return err
	}
	c.slot = slot
	if c.result.Admitted.IsZero() {
		c.result.Admitted = time.Now()
	}
	return nil
}

// pause is the time in which endpoints that refused may have room again.
func (c *course) pause() time.Duration {
	return min(c.request.Route.Target/pausePart, longestPause)
}

// attempt sends the request to the place it has, and passes the answer on.
func (c *course) attempt() error {
	place, found := c.runner.Roster.At(c.request.Service, c.slot.Endpoint())
	if !found {
		c.lost++
		c.exclude(c.slot.Endpoint())
		c.release(routing.OutcomeCancelled)
		return &NotRunError{Cause: errors.New("endpoint has just left")}
	}
	decision := c.slot.Decision()
	d := &Dispatch{Request: c.request, Place: place, Deadline: c.request.Deadline, After: c.last, Choice: decision.Chosen()}
	if c.request.Route.Kind == route.KindStream {
		return c.stream(d)
	}
	return c.whole(d)
}

// send dispatches once and counts it.
func (c *course) send(ctx context.Context, d *Dispatch) (*Reply, error) {
	c.result.Place = d.Place
	c.result.Sent++
	c.runner.Observer.Dispatched(d, c.result.Sent)
	reply, err := c.runner.Endpoints.Send(ctx, d)
	if err == nil {
		c.ran++
		c.result.Status = reply.Status
		return reply, nil
	}
	switch {
	case isUnreached(err):
		c.lost++
	case isNotRun(err):
		c.unrun++
	default:
		c.ran++
	}
	return nil, err
}

// again decides whether a failed request is sent once more. What reached no endpoint is no load on one, so it costs no budget.
func (c *course) again(err error) bool {
	allowed := c.mayRepeat(err) && (isUnreached(err) || c.runner.Budgets.Of(c.request.Service).Take(c.runner.Allowance(), time.Now()))
	c.runner.Observer.Repeated(c.request, c.result.Place, err, allowed)
	return allowed
}

func (c *course) mayRepeat(err error) bool {
	if c.caller.Err() != nil || !time.Now().Before(c.request.Deadline) {
		return false
	}
	if c.unrun >= maximumUnrun || c.lost >= mostUnreached {
		return false
	}
	return isNotRun(err) && c.ran == 0 || c.request.Route.Repeatable() && c.ran < c.request.Route.Attempts
}

func (c *course) exclude(address netip.AddrPort) {
	c.ask.Exclude = append(c.ask.Exclude, address)
}

func (c *course) release(outcome routing.Outcome) {
	if c.slot != nil {
		c.slot.Release(outcome, time.Now())
		c.slot = nil
	}
}

// endUnplaced ends a request that got no place.
func (c *course) endUnplaced(err error) {
	c.result.Err = err
	if c.caller.Err() != nil {
		c.result.Outcome, c.result.Reason = OutcomeLeft, ReasonCaller
		return
	}
	c.result.Reason = ReasonPlace
	if refusal, is := errors.AsType[*routing.RefusalError](err); is {
		c.result.RetryAt = refusal.RetryAt
	}
	c.setLost()
}

// endFailed ends a request whose latest dispatch failed.
func (c *course) endFailed(err error) {
	c.result.Err = err
	c.result.Reason = reasonOf(err)
	switch {
	case c.caller.Err() != nil:
		c.result.Outcome, c.result.Reason = OutcomeLeft, ReasonCaller
		return
	case c.ctx.Err() != nil:
		c.result.Reason = ReasonDeadline
	case c.ran == 0 && c.unrun > 0:
		c.result.Reason = ReasonRefused
	case c.ran == 0 && c.lost > 0:
		c.result.Reason = ReasonUnreached
	}
	c.setLost()
}

// setLost tells the outcome of a request without an answer by how far it came.
func (c *course) setLost() {
	switch {
	case c.result.Begun:
		c.result.Outcome = OutcomeInterrupted
	case c.ran > 0:
		c.result.Outcome = OutcomeUnknown
	default:
		c.result.Outcome = OutcomeNotRun
		c.result.RetryAt = returnAt(time.Now(), c.result.RetryAt, c.request.Priority, rand.Float64())
	}
}

// pass sends the head of an answer to the caller.
func (c *course) pass(status int, header http.Header) error {
	if c.result.Begun {
		return nil
	}
	c.result.Begun = true
	c.result.First = time.Now()
	if err := c.sink.Begin(status, header); err != nil {
		return errCaller
	}
	return nil
}
