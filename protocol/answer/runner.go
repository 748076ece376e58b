package answer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/routing"
)

// Slot is a place on an endpoint for one generation.
type Slot interface {
	Endpoint() netip.AddrPort
	// RecordToken counts one token.
	RecordToken(now time.Time)
	// Release gives the place back; it is called once.
	Release(outcome routing.Outcome, now time.Time)
}

// Router gives places on endpoints; its errors may be *routing.RefusalError.
type Router interface {
	Acquire(ctx context.Context, ask *routing.RequestSpec) (Slot, error)
}

// Peers calls methods of other instances.
type Peers interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Result says how an answer ended.
type Result struct {
	ID        string
	Outcome   Outcome
	Delivered int       // tokens that the caller has, those of a former connection included
	Attempts  int       // generations dispatched
	RetryAt   time.Time // zero: asking again does not help, or nobody knows when
	Reason    string    // cause of an outcome other than finished; a metrics label
	Resume    string    // token to read on from where the caller is
	Err       error
}

// Runner carries answers to their ends; set the fields before the first use, then it is safe for concurrent use.
type Runner struct {
	Engines   Engines
	Router    Router
	Budget    *Budgets
	Tokens    *Signer
	Observer  Observer       // may be nil
	Peers     Peers          // may be nil: other instances are then not told of answers that went on here
	Self      netip.AddrPort // peer listener, written to resume tokens
	Grace     time.Duration  // how long an answer is kept after its caller left; zero: the default
	TokenLife time.Duration  // of resume tokens; zero: the default

	paces      Paces
	background conc.WaitGroup
	lock       sync.Mutex // guards what follows; nothing is called while it is held
	active     map[string]*execution
	lingering  map[string]*linger
	cancelling int
}

// Run carries a new answer to its end; the context ends when the caller leaves.
func (r *Runner) Run(ctx context.Context, request *Request, sink Sink) Result {
	e := r.newExecution(ctx, request, sink)
	defer e.close()
	return e.attempts(nil)
}

// Resume goes on with an answer on behalf of a caller who came back; the request's Body may be empty, which rules a replay out.
func (r *Runner) Resume(ctx context.Context, token *ResumeToken, request *Request, sink Sink) Result {
	request.ID = token.Answer
	request.Entry = token.Entry
	e := r.newExecution(ctx, request, sink)
	defer e.close()
	return e.resume(token)
}

// Wait returns when the answers whose callers left are done with; call it after the last Run has returned.
func (r *Runner) Wait() {
	r.background.Wait()
}

func (r *Runner) observer() Observer {
	if r.Observer == nil {
		return noObserver{}
	}
	return r.Observer
}

func (r *Runner) grace() time.Duration {
	if r.Grace == 0 {
		return graceDefault
	}
	return r.Grace
}

func (r *Runner) tokenLife() time.Duration {
	if r.TokenLife == 0 {
		return tokenLifeDefault
	}
	return r.TokenLife
}

// register makes an execution known under its answer's id, for peers that go on with the answer; a former one at this instance
// must not cancel what this one reads.
func (r *Runner) register(e *execution) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.active == nil {
		r.active = make(map[string]*execution)
	}
	if former := r.active[e.request.ID]; former != nil {
		former.elsewhere.Store(true)
		e.former = former.original
	}
	r.active[e.request.ID] = e
}

func (r *Runner) unregister(e *execution) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.active[e.request.ID] == e {
		delete(r.active, e.request.ID)
	}
}
