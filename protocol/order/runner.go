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

// Catalogue provides the entries that are in force.
type Catalogue interface {
	// View returns the current view of the catalogue.
	View() *catalogue.View
}

// Leases grants the right to send orders to an entry's engines.
type Leases interface {
	// Grant returns this instance's lease of the entry, or false if it holds none.
	Grant(now time.Time, entry string) (lease.Grant, bool)
	// Share returns the part of a fleet-wide rate that the holder of one lease may use.
	Share(rate float64) float64
	// Ordering records the catalogue offset that this instance's orders are based on, for the next leaseholder.
	Ordering(catalogue uint64)
}

// Leaving reports which endpoints are leaving.
type Leaving interface {
	// Leaving reports whether any source reports the endpoint as leaving.
	Leaving(endpoint netip.AddrPort) bool
}

// Observer is notified of plans and orders; its methods must be safe for concurrent use.
type Observer interface {
	// OrderSent reports the result of one order.
	OrderSent(entry string, pulls bool, err error)
	// Planned reports the plan of one check of an entry.
	Planned(entry string, plan Plan)
}

// Options contains the dependencies and settings of a runner.
type Options struct {
	Catalogue      Catalogue
	Leases         Leases
	Leaving        Leaving
	Engines        Engines
	Observer       Observer
	PullsPerSecond float64 // pulls that the weight store allows to the whole fleet, per second
}

// Runner sends orders to the engines of the entries whose lease this instance holds.
type Runner struct {
	Options
	mutex   sync.Mutex // guards entries; no other mutex of this package is locked while it is held
	entries map[string]*entryState
}

// entryState is the state of one entry under one lease.
type entryState struct {
	fence       uint64        // fencing number of the lease
	pullLimiter *rate.Limiter // limits pulls to this instance's share of the weight store's rate
	nextCheck   time.Time     // when the entry is due for its next check; guarded by the runner's mutex, as the fields below
	triggered   bool          // whether Trigger was called since the latest check began
	plan        Plan          // result of the last check

	mutex        sync.Mutex // guards the fields below; no other mutex of this package is locked while it is held
	backoffs     map[netip.AddrPort]backoff
	pendingUntil map[netip.AddrPort]time.Time // until when an order with unknown outcome may take effect, by engine
}

// backoff delays the next order to an engine that does not serve as desired yet.
type backoff struct {
	count int       // orders since the engine last served as desired
	until time.Time // when the next order may be sent
}

// NewRunner returns a runner that has not checked any entry yet.
func NewRunner(o Options) *Runner {
	return &Runner{Options: o, entries: map[string]*entryState{}}
}

// Run checks the entries whose lease this instance holds until the context ends.
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

// Reconcile checks each entry that is due once, all of them concurrently.
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
		if s == nil || !mayOrder(e, grant, now) {
			continue
		}
		if view.Offset < grant.Catalogue {
			// A former leaseholder used a later catalogue than this instance has, so this instance's orders would revert its changes.
			continue
		}
		if !r.beginCheck(s, now) {
			continue
		}
		group.Go(func() { r.checkEntry(ctx, e, s) })
	}
	group.Wait()
}

// Plans returns the last plan of each entry whose lease this instance holds, by entry name.
func (r *Runner) Plans() map[string]Plan {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	plans := make(map[string]Plan, len(r.entries))
	for name, s := range r.entries {
		plans[name] = s.plan
	}
	return plans
}

// mayOrder reports whether an order sent now ends before the lease expires. For engines that ignore fencing numbers, the former
// leaseholder's last order must have ended too.
func mayOrder(e *catalogue.Entry, g lease.Grant, now time.Time) bool {
	if now.Add(Timeout).After(g.Until) {
		return false
	}
	return e.ChecksFence || !now.Before(g.From.Add(Timeout))
}

// stateFor returns the entry's state under the lease, or nil if no lease is granted. Each new lease begins with an empty state.
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

// newPullLimiter returns a limiter without initial tokens, because the former leaseholder may just have used up the rate.
func (r *Runner) newPullLimiter(now time.Time) *rate.Limiter {
	limiter := rate.NewLimiter(rate.Limit(r.PullsPerSecond), 1)
	limiter.AllowN(now, 1)
	return limiter
}

// dropRemoved deletes the state of entries that are no longer in the catalogue.
func (r *Runner) dropRemoved(view *catalogue.View) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for name := range r.entries {
		if _, ok := view.Entry(name); !ok {
			delete(r.entries, name)
		}
	}
}

// checkEntry reads the reports of all engines of the entry, makes a plan and sends its orders.
func (r *Runner) checkEntry(ctx context.Context, e *catalogue.Entry, s *entryState) {
	observations := r.observe(ctx, e)
	now := time.Now()
	s.pullLimiter.SetLimitAt(now, rate.Limit(r.Leases.Share(r.PullsPerSecond)))
	s.recordObservations(e, observations, now)
	plan := NewPlan(e, observations, s.fence, func(endpoint netip.AddrPort, pulls bool) bool { return s.allowOrder(now, endpoint, pulls) })
	r.Observer.Planned(e.Name, plan)
	r.sendOrders(ctx, e, s, plan.Steps)
	r.endCheck(s, plan, len(observations), time.Now())
}

// recordObservations clears the backoff and the pending order of engines that serve as desired, sets OrderPending in the observations,
// and deletes the state of endpoints that are no longer listed.
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

// allowOrder reports whether an order may be sent to the endpoint, and if so starts its backoff: each order counts as failed until
// the engine serves as desired.
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

// recordSent marks the engine as having a pending order if the order pulls weights and its outcome is unknown.
func (s *entryState) recordSent(now time.Time, step Step, err error) {
	if err == nil || Fenced(err) || !step.Pulls {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pendingUntil[step.Endpoint] = now.Add(MaximumOrderDelay)
}

// checkInterval returns the time until the next check of an entry.
func checkInterval(p Plan, engines int) time.Duration {
	if !p.Steady || len(p.Steps) > 0 {
		return BusyInterval
	}
	return min(max(SteadyIntervalMinimum, time.Duration(engines)*steadyIntervalPerEngine), SteadyIntervalMaximum)
}

// observe returns an observation of each endpoint of the entry; it reads the reports of those that are not leaving.
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

// sendOrders sends the orders of a plan. It checks the lease again before each order, because reading the reports and sending other
// orders takes time.
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

// Fenced reports whether an order failed because the engine refused its fencing number.
func Fenced(err error) bool { return errors.Is(err, ErrFenced) }
