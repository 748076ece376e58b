package order

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"golang.org/x/time/rate"

	"dogwooddyke/coordination/lease"
	"dogwooddyke/state/catalogue"
)

// Catalogue gives the entries as they are in force.
type Catalogue interface {
	View() *catalogue.View
}

// Leases gives the right to order an entry's engines.
type Leases interface {
	Grant(now time.Time, entry string) (lease.Grant, bool)
	Share(rate float64) float64
	Ordering(catalogue uint64)
}

// Leaving tells whether any source says that an endpoint is leaving.
type Leaving interface {
	Leaving(endpoint netip.AddrPort) bool
}

// Observer counts what orders do.
type Observer interface {
	OrderSent(entry string, pulls bool, err error)
	Planned(entry string, plan Plan)
}

// Options is what a runner works with.
type Options struct {
	Catalogue      Catalogue
	Leases         Leases
	Leaving        Leaving
	Engines        Engines
	Observer       Observer
	PullsPerSecond float64 // of the weight store, for the whole fleet
}

// Runner gives orders for the entries whose lease this instance has.
type Runner struct {
	Options
	mu      sync.Mutex // guards entries; taken before nothing else
	entries map[string]*account
}

// account is what is kept of one entry under one lease.
type account struct {
	fence   uint64
	lookAt  time.Time
	limiter *rate.Limiter
	plan    Plan

	mu       sync.Mutex // guards the fields below; taken before nothing else
	failures map[netip.AddrPort]failure
	awaited  map[netip.AddrPort]time.Time // until when an order whose outcome is unknown may take effect
}

// failure counts the orders that did not make an engine serve.
type failure struct {
	count int
	until time.Time
}

// NewRunner returns a runner that has looked at nothing.
func NewRunner(o Options) *Runner {
	return &Runner{Options: o, entries: map[string]*account{}}
}

// Run looks at the entries whose lease this instance has until the context ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Reconcile(ctx)
		}
	}
}

// Reconcile looks once at each entry that is due, all side by side.
func (r *Runner) Reconcile(ctx context.Context) {
	view := r.Catalogue.View()
	r.forget(view)
	r.Leases.Ordering(view.Offset)
	var group conc.WaitGroup
	for _, e := range view.Entries() {
		if e.Kind != catalogue.KindEngine {
			continue
		}
		now := time.Now()
		grant, ok := r.Leases.Grant(now, e.Name)
		a := r.account(e.Name, grant, ok, now)
		if a == nil || now.Before(a.lookAt) || !mayOrder(e, grant, now) {
			continue
		}
		if view.Offset < grant.Catalogue {
			// A former holder went by a later catalogue: this one's orders would revert its.
			continue
		}
		group.Go(func() { r.look(ctx, e, a) })
	}
	group.Wait()
}

// Trigger makes the next round look at the entry, because one of its engines is known to need something.
func (r *Runner) Trigger(entry string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a, ok := r.entries[entry]; ok && a.plan.Steady {
		a.lookAt = time.Time{}
	}
}

// Plans returns the last plan of each entry whose lease this instance has.
func (r *Runner) Plans() map[string]Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	plans := make(map[string]Plan, len(r.entries))
	for n, a := range r.entries {
		plans[n] = a.plan
	}
	return plans
}

// mayOrder tells whether an order sent now ends within the right; engines that ignore fencing numbers also need the
// former holder's last order to have ended.
func mayOrder(e *catalogue.Entry, g lease.Grant, now time.Time) bool {
	if now.Add(Timeout).After(g.Until) {
		return false
	}
	return e.ChecksFence || !now.Before(g.From.Add(Timeout))
}

// account returns the entry's account under the grant, new if the lease is; nil without a grant.
func (r *Runner) account(entry string, g lease.Grant, granted bool, now time.Time) *account {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !granted {
		delete(r.entries, entry)
		return nil
	}
	a, ok := r.entries[entry]
	if !ok || a.fence != g.Fence {
		a = &account{fence: g.Fence, limiter: r.limiter(now), failures: map[netip.AddrPort]failure{}, awaited: map[netip.AddrPort]time.Time{}}
		r.entries[entry] = a
	}
	return a
}

// limiter begins empty, for the former holder may have used the rate up just now.
func (r *Runner) limiter(now time.Time) *rate.Limiter {
	l := rate.NewLimiter(rate.Limit(r.PullsPerSecond), 1)
	l.AllowN(now, 1)
	return l
}

// forget drops the accounts of entries that are gone.
func (r *Runner) forget(view *catalogue.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.entries {
		if _, ok := view.Entry(n); !ok {
			delete(r.entries, n)
		}
	}
}

// look reads all engines, plans and sends.
func (r *Runner) look(ctx context.Context, e *catalogue.Entry, a *account) {
	seen := r.read(ctx, e)
	now := time.Now()
	a.limiter.SetLimitAt(now, rate.Limit(r.Leases.Share(r.PullsPerSecond)))
	a.settle(e, seen, now)
	plan := NewPlan(e, seen, a.fence, func(endpoint netip.AddrPort, pulls bool) bool { return a.allow(now, endpoint, pulls) })
	r.Observer.Planned(e.Name, plan)
	r.send(ctx, e, a, plan.Steps)
	r.mu.Lock()
	defer r.mu.Unlock()
	a.plan = plan
	a.lookAt = time.Now().Add(interval(plan, len(seen)))
}

// settle forgets the failures of engines that serve as they should, and marks those that an order may still reach.
func (a *account) settle(e *catalogue.Entry, seen []Observation, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := make(map[netip.AddrPort]bool, len(seen))
	for i := range seen {
		s := &seen[i]
		address := s.Endpoint.Address
		known[address] = true
		if s.Answered && s.Report.State == EngineReady && settled(e, *s, wanted(e, s.Endpoint, a.fence)) {
			delete(a.failures, address)
			delete(a.awaited, address)
		}
		s.OrderPending = now.Before(a.awaited[address])
	}
	maps.DeleteFunc(a.failures, func(address netip.AddrPort, _ failure) bool { return !known[address] })
	maps.DeleteFunc(a.awaited, func(address netip.AddrPort, _ time.Time) bool { return !known[address] })
}

// allow takes one order for the endpoint, unless one failed too recently; each counts as failed until the engine serves
// as it should.
func (a *account) allow(now time.Time, endpoint netip.AddrPort, pulls bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.failures[endpoint]
	if now.Before(f.until) || (pulls && !a.limiter.AllowN(now, 1)) {
		return false
	}
	wait := firstBackoff
	for range f.count {
		wait = min(2*wait, lastBackoff)
	}
	a.failures[endpoint] = failure{count: f.count + 1, until: now.Add(wait)}
	return true
}

// sent notes an order whose outcome is unknown.
func (a *account) sent(now time.Time, s Step, err error) {
	if err == nil || Fenced(err) || !s.Pulls {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.awaited[s.Endpoint] = now.Add(MaximumOrderDelay)
}

func interval(p Plan, engines int) time.Duration {
	if !p.Steady || len(p.Steps) > 0 {
		return BusyInterval
	}
	return min(max(SteadyIntervalMinimum, time.Duration(engines)*steadyShare), SteadyIntervalMaximum)
}

func (r *Runner) read(ctx context.Context, e *catalogue.Entry) []Observation {
	seen := make([]Observation, len(e.Endpoints))
	readers := pool.New().WithMaxGoroutines(readersAtOnce)
	for i, p := range e.Endpoints {
		seen[i] = Observation{Endpoint: p, Leaving: p.Leaving || r.Leaving.Leaving(p.Address)}
		if seen[i].Leaving {
			continue
		}
		readers.Go(func() {
			limited, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			report, err := r.Engines.Report(limited, p.Address)
			seen[i].Report, seen[i].Answered = report, err == nil
		})
	}
	readers.Wait()
	return seen
}

// send checks the right again before each order, for reading and other orders take time.
func (r *Runner) send(ctx context.Context, e *catalogue.Entry, a *account, steps []Step) {
	senders := pool.New().WithMaxGoroutines(sendersAtOnce)
	for _, s := range steps {
		senders.Go(func() {
			now := time.Now()
			grant, ok := r.Leases.Grant(now, e.Name)
			if !ok || grant.Fence != a.fence || !mayOrder(e, grant, now) {
				return
			}
			limited, cancel := context.WithTimeout(ctx, Timeout)
			defer cancel()
			_, err := r.Engines.Send(limited, s.Endpoint, s.Order)
			a.sent(time.Now(), s, err)
			r.Observer.OrderSent(e.Name, s.Pulls, err)
		})
	}
	senders.Wait()
}

// Fenced tells whether an order failed because of its fencing number, for observers.
func Fenced(err error) bool { return errors.Is(err, ErrFenced) }
