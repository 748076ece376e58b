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
	mutex   sync.Mutex // guards entries; taken before nothing else
	entries map[string]*entryState
}

// entryState is what is kept of one entry under one lease.
type entryState struct {
	fence       uint64
	nextCheck   time.Time
	pullLimiter *rate.Limiter
	plan        Plan

	mutex        sync.Mutex // guards the fields below; taken before nothing else
	backoffs     map[netip.AddrPort]backoff
	pendingUntil map[netip.AddrPort]time.Time // until when an order whose outcome is unknown may take effect
}

// backoff counts the orders that did not make an engine serve.
type backoff struct {
	count int
	until time.Time
}

// NewRunner returns a runner that has looked at nothing.
func NewRunner(o Options) *Runner {
	return &Runner{Options: o, entries: map[string]*entryState{}}
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
	r.dropRemoved(view)
	r.Leases.Ordering(view.Offset)
	var group conc.WaitGroup
	for _, e := range view.Entries() {
		if e.Kind != catalogue.KindEngine {
			continue
		}
		now := time.Now()
		grant, ok := r.Leases.Grant(now, e.Name)
		s := r.stateFor(e.Name, grant, ok, now)
		if s == nil || now.Before(s.nextCheck) || !mayOrder(e, grant, now) {
			continue
		}
		if view.Offset < grant.Catalogue {
			// A former holder went by a later catalogue: this one's orders would revert its.
			continue
		}
		group.Go(func() { r.checkEntry(ctx, e, s) })
	}
	group.Wait()
}

// Trigger makes the next round look at the entry, because one of its engines is known to need something.
func (r *Runner) Trigger(entry string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if s, ok := r.entries[entry]; ok && s.plan.Steady {
		s.nextCheck = time.Time{}
	}
}

// Plans returns the last plan of each entry whose lease this instance has.
func (r *Runner) Plans() map[string]Plan {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	plans := make(map[string]Plan, len(r.entries))
	for name, s := range r.entries {
		plans[name] = s.plan
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

// stateFor returns the entry's account under the grant, new if the lease is; nil without a grant.
func (r *Runner) stateFor(entry string, g lease.Grant, granted bool, now time.Time) *entryState {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !granted {
		delete(r.entries, entry)
		return nil
	}
	s, ok := r.entries[entry]
	if !ok || s.fence != g.Fence {
		s = &entryState{fence: g.Fence, pullLimiter: r.newPullLimiter(now), backoffs: map[netip.AddrPort]backoff{}, pendingUntil: map[netip.AddrPort]time.Time{}}
		r.entries[entry] = s
	}
	return s
}

// newPullLimiter begins empty, for the former holder may have used the rate up just now.
func (r *Runner) newPullLimiter(now time.Time) *rate.Limiter {
	limiter := rate.NewLimiter(rate.Limit(r.PullsPerSecond), 1)
	limiter.AllowN(now, 1)
	return limiter
}

// dropRemoved drops the accounts of entries that are gone.
func (r *Runner) dropRemoved(view *catalogue.View) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for name := range r.entries {
		if _, ok := view.Entry(name); !ok {
			delete(r.entries, name)
		}
	}
}

// checkEntry reads all engines, plans and sends.
func (r *Runner) checkEntry(ctx context.Context, e *catalogue.Entry, s *entryState) {
	observations := r.observe(ctx, e)
	now := time.Now()
	s.pullLimiter.SetLimitAt(now, rate.Limit(r.Leases.Share(r.PullsPerSecond)))
	s.recordObservations(e, observations, now)
	plan := NewPlan(e, observations, s.fence, func(endpoint netip.AddrPort, pulls bool) bool { return s.allowOrder(now, endpoint, pulls) })
	r.Observer.Planned(e.Name, plan)
	r.sendOrders(ctx, e, s, plan.Steps)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s.plan = plan
	s.nextCheck = time.Now().Add(checkInterval(plan, len(observations)))
}

// recordObservations forgets the failures of engines that serve as they should, and marks those that an order may still reach.
func (s *entryState) recordObservations(e *catalogue.Entry, observations []Observation, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := make(map[netip.AddrPort]bool, len(observations))
	for i := range observations {
		o := &observations[i]
		address := o.Endpoint.Address
		known[address] = true
		if o.Answered && o.Report.State == EngineReady && upToDate(e, *o, desiredOrder(e, o.Endpoint, s.fence)) {
			delete(s.backoffs, address)
			delete(s.pendingUntil, address)
		}
		o.OrderPending = now.Before(s.pendingUntil[address])
	}
	maps.DeleteFunc(s.backoffs, func(address netip.AddrPort, _ backoff) bool { return !known[address] })
	maps.DeleteFunc(s.pendingUntil, func(address netip.AddrPort, _ time.Time) bool { return !known[address] })
}

// allowOrder takes one order for the endpoint, unless one failed too recently; each counts as failed until the engine serves
// as it should.
func (s *entryState) allowOrder(now time.Time, endpoint netip.AddrPort, pulls bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := s.backoffs[endpoint]
	if now.Before(b.until) || (pulls && !s.pullLimiter.AllowN(now, 1)) {
		return false
	}
	wait := initialBackoff
	for range b.count {
		wait = min(2*wait, maximumBackoff)
	}
	s.backoffs[endpoint] = backoff{count: b.count + 1, until: now.Add(wait)}
	return true
}

// recordSent notes an order whose outcome is unknown.
func (s *entryState) recordSent(now time.Time, step Step, err error) {
	if err == nil || Fenced(err) || !step.Pulls {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pendingUntil[step.Endpoint] = now.Add(MaximumOrderDelay)
}

func checkInterval(p Plan, engines int) time.Duration {
	if !p.Steady || len(p.Steps) > 0 {
		return BusyInterval
	}
	return min(max(SteadyIntervalMinimum, time.Duration(engines)*steadyIntervalPerEngine), SteadyIntervalMaximum)
}

func (r *Runner) observe(ctx context.Context, e *catalogue.Entry) []Observation {
	observations := make([]Observation, len(e.Endpoints))
	readers := pool.New().WithMaxGoroutines(maximumConcurrentReads)
	for i, endpoint := range e.Endpoints {
		observations[i] = Observation{Endpoint: endpoint, Leaving: endpoint.Leaving || r.Leaving.Leaving(endpoint.Address)}
		if observations[i].Leaving {
			continue
		}
		readers.Go(func() {
			limited, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			report, err := r.Engines.Report(limited, endpoint.Address)
			observations[i].Report, observations[i].Answered = report, err == nil
		})
	}
	readers.Wait()
	return observations
}

// sendOrders checks the right again before each order, for reading and other orders take time.
func (r *Runner) sendOrders(ctx context.Context, e *catalogue.Entry, state *entryState, steps []Step) {
	senders := pool.New().WithMaxGoroutines(maximumConcurrentSends)
	for _, step := range steps {
		senders.Go(func() {
			now := time.Now()
			grant, ok := r.Leases.Grant(now, e.Name)
			if !ok || grant.Fence != state.fence || !mayOrder(e, grant, now) {
				return
			}
			limited, cancel := context.WithTimeout(ctx, Timeout)
			defer cancel()
			_, err := r.Engines.Send(limited, step.Endpoint, step.Order)
			state.recordSent(time.Now(), step, err)
			r.Observer.OrderSent(e.Name, step.Pulls, err)
		})
	}
	senders.Wait()
}

// Fenced tells whether an order failed because of its fencing number, for observers.
func Fenced(err error) bool { return errors.Is(err, ErrFenced) }
