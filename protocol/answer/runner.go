package answer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/coordination/routing"
)

// Slot is a slot on an endpoint for one generation.
type Slot interface {
	// Endpoint returns the address of the endpoint.
	Endpoint() netip.AddrPort
	// RecordToken counts one token that the endpoint generated.
	RecordToken(now time.Time)
	// Release returns the slot to the router; it is called exactly once.
	Release(outcome routing.Outcome, now time.Time)
}

// Router assigns slots on endpoints.
type Router interface {
	// Acquire waits for a slot; the error may be a *routing.RefusalError.
	Acquire(ctx context.Context, spec *routing.RequestSpec) (Slot, error)
}

// Peers calls the peer methods of other instances.
type Peers interface {
	// Call calls the method of the instance with the peer listener to, and decodes the method's result into result.
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Result describes how an answer ended.
type Result struct {
	ID          string    // answer id
	Outcome     Outcome   // the end of the request
	Delivered   int       // tokens that the caller has, including those of earlier connections
	Attempts    int       // generations dispatched
	RetryAt     time.Time // when the caller may try again; zero if a retry does not help or the time is unknown
	Reason      string    // cause of an outcome other than finished; a metrics label
	ResumeToken string    // signed token for resuming the answer; empty if no generation may have run
	Err         error     // cause of an outcome other than finished
}

// Runner runs answers. Its fields must be set before the first use; after that it is safe for concurrent use.
type Runner struct {
	Engines       Engines
	Router        Router
	RetryBudgets  *RetryBudgets
	Signer        *Signer              // signs resume tokens
	Observer      Observer             // may be nil
	Quarantine    *quarantine.Exchange // may be nil: no request is kept back then
	Peers         Peers                // may be nil, in which case other instances are not informed of answers that were resumed here
	Self          netip.AddrPort       // this instance's peer listener, stored in resume tokens
	Grace         time.Duration        // how long a generation is kept after its caller left; zero means 5 s
	TokenLifetime time.Duration        // lifetime of resume tokens; zero means 10 min

	latencies      TokenLatencies
	background     conc.WaitGroup
	mutex          sync.Mutex                 // guards the fields below; must not be held during a call to an engine, a peer or a slot
	active         map[string]*execution      // by answer id
	detached       map[string]*detachedAnswer // by answer id
	pendingCancels int                        // cancellations running in the background
}

// Run runs a new answer to its end; the context must end when the caller leaves.
func (r *Runner) Run(ctx context.Context, request *Request, sink Sink) Result {
	e := r.newExecution(ctx, request, sink)
	defer e.close()
	return e.runAttempts(nil)
}

// Resume continues an answer for a caller that returned with a resume token. If the request's Body is empty, a replay is possible
// only with the body that an earlier execution received, here or at the instance that issued the token.
func (r *Runner) Resume(ctx context.Context, token *ResumeToken, request *Request, sink Sink) Result {
	request.ID = token.Answer
	request.Entry = token.Entry
	e := r.newExecution(ctx, request, sink)
	defer e.close()
	return e.resume(token)
}

// Wait returns when all background work, such as detached answers and cancellations, has ended. It must be called after the last
// Run and Resume have returned.
func (r *Runner) Wait() {
	r.background.Wait()
}

// observer returns the configured observer, or one that ignores all events.
func (r *Runner) observer() Observer {
	if r.Observer == nil {
		return noObserver{}
	}
	return r.Observer
}

// grace returns the configured grace period or its default.
func (r *Runner) grace() time.Duration {
	if r.Grace == 0 {
		return defaultGrace
	}
	return r.Grace
}

// tokenLifetime returns the configured lifetime of resume tokens or its default.
func (r *Runner) tokenLifetime() time.Duration {
	if r.TokenLifetime == 0 {
		return defaultTokenLifetime
	}
	return r.TokenLifetime
}

// register stores the execution under its answer's id, where ServeResumed finds it when a peer resumes the answer. It also marks an
// earlier execution of the same answer at this instance, so that it does not cancel the generation that the new one reads.
func (r *Runner) register(e *execution) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.active == nil {
		r.active = make(map[string]*execution)
	}
	if previous := r.active[e.request.ID]; previous != nil {
		previous.superseded.Store(true)
		e.previous = previous.original
	}
	r.active[e.request.ID] = e
}

// unregister removes the execution, unless a later one of the same answer has replaced it.
func (r *Runner) unregister(e *execution) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.active[e.request.ID] == e {
		delete(r.active, e.request.ID)
	}
}
