package relay

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/handover"
	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
	"dogwooddyke/state/memory"
	"dogwooddyke/state/prompt"
	"dogwooddyke/state/route"
)

// Router grants slots at endpoints; its errors may be *routing.RefusalError.
type Router interface {
	// Acquire waits for a slot.
	Acquire(ctx context.Context, spec *routing.RequestSpec) (*routing.Slot, error)
	// Place returns a slot for a run that continues at another endpoint, without waiting.
	Place(spec *routing.RequestSpec) (*routing.Slot, error)
}

// Roster looks up the endpoints of services.
type Roster interface {
	// At returns the endpoint that was started last at an address, and whether there is one.
	At(service string, address netip.AddrPort) (Endpoint, bool)
}

// MoveScheduler decides in which order runs are moved from an endpoint that is leaving.
type MoveScheduler interface {
	// Register adds a run at an endpoint, with a function that returns the tokens that it holds; the returned function removes the run.
	Register(from Endpoint, id string, heldTokens func() int) (unregister func())
	// Plan returns when a run should be copied, and whether the time allows only copies within the data centre.
	Plan(r *Request, from Endpoint, noticed, latest time.Time) handover.Plan
	// SettleTime returns the time after a notice in which the other instances' reports of their runs at the endpoint arrive.
	SettleTime() time.Duration
	// Ready reports whether all runs ahead of this one have been moved.
	Ready(r *Request, from Endpoint) bool
}

// Streams knows which version of the endpoints' software began each stream that its caller may take up again.
type Streams interface {
	// Began notes the version that made the first event of a request's stream; it must be fast.
	Began(r *Request, version string)
	// Find returns the version that began the stream which a request takes up; empty if it is not known.
	Find(ctx context.Context, r *Request) string
}

// Runner runs requests; it is safe for concurrent use once its fields are set.
type Runner struct {
	Endpoints     Endpoints
	Router        Router
	Roster        Roster
	Budgets       *Budgets
	MoveScheduler MoveScheduler
	Quarantine    *quarantine.Exchange // may be nil: no request is kept back then
	Streams       Streams              // may be nil: streams that callers take up go on at any version then
	RetryLimits   func() RetryLimits
	Drain         time.Duration  // from an endpoint's notice until no request may reach it, not even one that continues a run there; zero: no limit
	Memory        *memory.Budget // of answers that callers have not read yet; nil: no limit
	Observer      Observer
	Closing       context.Context // done when requests without an answer must get one, since the instance closes
	Ending        context.Context // done when endpoints' answers that have begun are ended as well
	Closed        context.Context // done when callers' connections are about to be closed, also of callers who have not taken the whole answer

	background conc.WaitGroup // cleanup that continues after an answer, for at most dropTimeout each
}

// execution is the state of one request while it runs. Only one goroutine uses it, apart from the mover and the silence timer of its current run.
type execution struct {
	runner         *Runner
	request        *Request
	outbox         *outbox
	caller         context.Context // done when the caller disconnects
	ctx            context.Context // done when the caller disconnects, at the request's deadline or, with the cause errClosing, when the instance closes
	spec           routing.RequestSpec
	slot           *routing.Slot
	repeat         *routing.Slot // reserved for a repeat that the retry budget has counted; nil if there is none
	asked          *askedRun     // run of a silent connection whose endpoint was asked to stop it; nil if there is none
	result         Result
	unreached      int                    // dispatches that did not reach an endpoint
	notRun         int                    // dispatches that endpoints refused to run
	mayHaveRun     int                    // dispatches that may have run
	version        atomic.Pointer[string] // that the stream is bound to; nil: none
	hasEvent       bool                   // this request has brought an event
	lastEvent      int64                  // id of the last event that was put into the outbox, or that the caller had before; zero if there is none
	lastEventAt    time.Time              // when the latest event was forwarded, or a buffered answer was whole
	passedTokens   atomic.Int32           // tokens forwarded to the caller
	receivedEvent  atomic.Int64           // lastEvent, for the silence timer
	beginning      atomic.Int32           // whether the answer has begun, or may not begin any more
	dispatchBegun  bool                   // the head of the latest dispatch's answer has come
	dispatchEvents int                    // events that the latest dispatch has received
	screening      *quarantine.Screening
	held           int              // bytes of buffered answers that the memory budget counts
	kept           *keptAnswer      // latest answer with an error status; nil if there is none
	paused         *pausedRun       // the run from when no endpoint works on it until one has made an event of it; else nil
	refusers       []netip.AddrPort // endpoints that refused the run although they had a copy of it
	moveAfter      time.Time        // when such an endpoint may be sent the run again
	backups        []netip.AddrPort // endpoints that may have a backup of the run, the newest first
}

// Run runs a request and sends its answer to the sink; the context must be done when the caller disconnects.
func (r *Runner) Run(ctx context.Context, request *Request, sink Sink) Result {
	caller, leave := context.WithCancel(ctx)
	defer leave()
	closable, end := context.WithCancelCause(caller)
	defer end(nil)
	bounded, cancel := context.WithDeadline(closable, request.Deadline)
	defer cancel()
	request.Whole = prompt.PartOfRequest(request.Service, request.Method, request.Target, request.Workspace, request.Body)
	x := &execution{runner: r, request: request, caller: caller, ctx: bounded, lastEvent: request.After, outbox: newOutbox(sink, r.Memory, leave)}
	x.result.LastEvent = request.After
	x.receivedEvent.Store(request.After)
	withdraw := context.AfterFunc(r.Closing, func() { x.endUnbegun(end) })
	defer withdraw()
	interrupt := context.AfterFunc(r.Ending, func() { end(errClosing) })
	defer interrupt()
	x.screening = r.Quarantine.Screen(promptOf(request), request.Whole)
	x.spec = routing.RequestSpec{
		ID:            request.ID,
		Entry:         request.Service,
		Workspace:     request.Workspace,
		Class:         request.Route.Name,
		Priority:      request.Priority,
		PromptTokens:  request.PromptTokens,
		MaximumTokens: request.MaximumTokens,
		Deadline:      latestStart(request),
		Target:        request.Route.Target,
	}
	if request.Route.Target > 0 {
		x.spec.FirstTokenDeadline = request.Arrived.Add(request.Route.Target)
	}
	if request.Engine != nil && request.Engine.Moves {
		x.spec.MovableRuns = movableRuns(request)
	}
	r.Budgets.Of(request.Service).CountRequest(r.RetryLimits().Window, time.Now())
	if x.findVersion() {
		x.run()
	}
	x.dropReserved()
	x.finish()
	return x.result
}

// Wait waits for the cleanup that continues after answers.
func (r *Runner) Wait() { r.background.Wait() }

// latestStart returns the latest time at which a dispatch of the request is still useful; it is earlier for a stream than for a plain
// request.
func latestStart(r *Request) time.Time {
	part := plainStartFraction
	if r.Route.Kind == route.KindStream {
		part = streamStartFraction
	}
	return r.Arrived.Add(time.Duration(part * float64(r.Deadline.Sub(r.Arrived))))
}

// movableRuns returns how many runs of this size can be copied from an endpoint in the time between its notice and the latest stop of its
// runs; zero if unknown.
func movableRuns(r *Request) int {
	link := handover.Link{TokenBytes: r.Engine.TokenBytes, BitsPerSecond: r.Engine.LinkBits, Slowdown: 1}
	copyTime := link.CopyTime(r.PromptTokens + r.MaximumTokens/outputDivisor)
	if copyTime <= 0 {
		return 0
	}
	return max(int(handover.LatestStop/copyTime), 1)
}

// run dispatches the request until an answer is forwarded or no further dispatch is allowed.
func (x *execution) run() {
	defer x.screening.End()
	for {
		x.result.Phase = x.pendingPhase()
		if err := x.screening.Admit(x.ctx, x.spec.Deadline); err != nil {
			x.endUnadmitted(err)
			return
		}
		if err := x.acquire(); err != nil {
			x.endUnadmitted(err)
			return
		}
		if !x.screening.IsAdmitted(time.Now()) {
			x.release(routing.OutcomeCancelled)
			continue
		}
		err := x.attempt()
		if err == nil {
			return
		}
		err = x.causeOf(err)
		if !x.shouldRetry(err) {
			x.endFailed(err)
			return
		}
	}
}

// acquire takes the slot that is reserved, or waits for one. Endpoints that failed or refused are tried again after a pause if no other endpoint is
// available.
func (x *execution) acquire() error {
	if x.repeat != nil {
		x.slot, x.repeat = x.repeat, nil
		return nil
	}
	x.spec.Begun = x.result.Begun || x.mayHaveRun > 0 && x.kept == nil
	spec := x.boundSpec()
	slot, err := x.runner.Router.Acquire(x.ctx, &spec)
	if refusal, ok := errors.AsType[*routing.RefusalError](err); ok && refusal.MayPassWithoutExclusions() && len(x.spec.Exclude) > 0 {
		if err := wait.For(x.ctx, x.refusalPause()); err != nil {
			return err
		}
		x.spec.Exclude = nil
		spec = x.boundSpec()
		slot, err = x.runner.Router.Acquire(x.ctx, &spec)
	}
	if err != nil {
		return err
	}
	x.slot = slot
	if x.result.AdmittedAt.IsZero() {
		x.result.AdmittedAt = time.Now()
	}
	return nil
}

// refusalPause returns the pause before endpoints that refused are tried again, in which they may free a slot.
func (x *execution) refusalPause() time.Duration {
	return min(x.request.Route.Target/refusalPauseDivisor, maximumRefusalPause)
}

// attempt sends the request to the endpoint of its slot, and forwards the answer.
func (x *execution) attempt() error {
	endpoint, found := x.runner.Roster.At(x.request.Service, x.slot.Endpoint())
	if !found || !x.fits(endpoint) {
		x.unreached++
		x.exclude(x.slot.Endpoint())
		x.release(routing.OutcomeCancelled)
		return &NotRunError{Cause: errors.New("endpoint is no longer in the roster")}
	}
	decision := x.slot.Decision()
	d := &Dispatch{Request: x.request, Endpoint: endpoint, Deadline: x.request.Deadline, After: x.lastEvent, Choice: decision.Chosen()}
	if x.request.Route.Kind == route.KindStream {
		return x.sendStream(d)
	}
	return x.sendBuffered(d)
}

// send dispatches the request once and counts the dispatch by its result.
func (x *execution) send(ctx context.Context, d *Dispatch) (*Reply, error) {
	x.result.Endpoint = d.Endpoint
	x.result.Dispatches++
	if x.result.Phase != PhaseBetween {
		x.result.Phase = PhaseSent
	}
	x.runner.Observer.Dispatched(d, x.result.Dispatches)
	reply, err := x.runner.Endpoints.Send(ctx, d)
	if err == nil {
		x.mayHaveRun++
		x.result.Status = reply.Status
		x.result.Phase = PhaseStreaming
		return reply, nil
	}
	switch {
	case isUnreached(err):
		x.unreached++
	case isNotRun(err) && d.Copy != nil: // the continuations of a run have a limit of their own
	case isNotRun(err):
		x.notRun++
	default:
		x.mayHaveRun++
	}
	return nil, err
}

// shouldRetry reports whether a failed request is sent again. A dispatch that did not reach an endpoint put no load on it, so the retry
// does not count against the retry budget.
func (x *execution) shouldRetry(err error) bool {
	allowed := x.mayRetry(err) && (x.repeat != nil || isUnreached(err) || x.runner.Budgets.Of(x.request.Service).Take(x.runner.RetryLimits(), time.Now()))
	x.runner.Observer.RetryDecided(x.request, x.result.Endpoint, err, allowed)
	return allowed
}

// mayRetry reports whether another dispatch is allowed, apart from the retry budget.
func (x *execution) mayRetry(err error) bool {
	if x.ctx.Err() != nil || !time.Now().Before(x.request.Deadline) {
		return false
	}
	if x.notRun >= maximumNotRun || x.unreached >= maximumUnreached {
		return false
	}
	return isNotRun(err) && x.mayHaveRun == 0 || x.request.Route.Repeatable() && x.mayHaveRun < x.request.Route.Attempts
}
