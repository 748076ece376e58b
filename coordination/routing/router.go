package routing

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/workspace"
)

// Router shares a core among goroutines; it has one lock, under which no other is taken and nothing waits.
type Router struct {
	mu   sync.Mutex
	core *Core
}

// New returns a router without entries.
func New(config Config) *Router { return &Router{core: NewCore(config)} }

// with runs a change of the core and then admits what it made room for.
func (r *Router) update(now time.Time, change func(c *Core)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.core)
	r.admit(now)
}

func (r *Router) admit(now time.Time) {
	for _, request := range r.core.Admit(now) {
		if request.decided != nil {
			close(request.decided)
		}
	}
}

// SetEntry takes in a new or changed entry.
func (r *Router) SetEntry(entry *catalogue.Entry, now time.Time) {
	r.update(now, func(c *Core) { c.SetEntry(entry, now) })
}

// RemoveEntry forgets an entry and refuses its queued requests.
func (r *Router) RemoveEntry(name string, now time.Time) {
	r.update(now, func(c *Core) { c.RemoveEntry(name) })
}

// SetWorkspace takes in a new or changed workspace's limits.
func (r *Router) SetWorkspace(w *catalogue.Workspace, now time.Time) {
	r.update(now, func(c *Core) { c.SetWorkspace(w) })
}

// RemoveWorkspace forgets a workspace's limits.
func (r *Router) RemoveWorkspace(name string, now time.Time) {
	r.update(now, func(c *Core) { c.RemoveWorkspace(name) })
}

// SetInstances says how many instances share the endpoints and limits.
func (r *Router) SetInstances(count int, now time.Time) {
	r.update(now, func(c *Core) { c.SetInstances(count) })
}

// SetDraining says whether new requests are refused; those queued and running go on.
func (r *Router) SetDraining(draining bool, now time.Time) {
	r.update(now, func(c *Core) { c.SetDraining(draining) })
}

// UpdateLoad takes in an engine's report.
func (r *Router) UpdateLoad(address netip.AddrPort, load endpoint.Load, now time.Time) {
	r.update(now, func(c *Core) { c.UpdateLoad(address, load, now) })
}

// UpdateCache takes in an engine's cache events.
func (r *Router) UpdateCache(address netip.AddrPort, events []endpoint.CacheEvent, now time.Time) {
	r.update(now, func(c *Core) { c.UpdateCache(address, events) })
}

// SetLeaving says whether any source but the catalogue and the endpoint's load calls it leaving; it then takes no new work.
func (r *Router) SetLeaving(address netip.AddrPort, leaving bool, now time.Time) {
	r.update(now, func(c *Core) { c.SetLeaving(address, leaving) })
}

// SetShare replaces this instance's share of an endpoint.
func (r *Router) SetShare(address netip.AddrPort, share endpoint.Share, now time.Time) {
	r.update(now, func(c *Core) { c.SetShare(address, share) })
}

// SetPeerLoad replaces this instance's share of an engine, and what the other instances have in progress there.
func (r *Router) SetPeerLoad(address netip.AddrPort, runs, promptTokens int, share endpoint.Share, now time.Time) {
	r.update(now, func(c *Core) {
		c.SetShare(address, share)
		c.SetPeerLoad(address, runs, promptTokens, now)
	})
}

// ObservePeerInterval learns from a mean time between tokens that another instance has observed at an engine.
func (r *Router) ObservePeerInterval(address netip.AddrPort, interval time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.ObservePeerInterval(address, interval, now)
}

// SetLimitShare replaces this instance's share of a workspace's limits.
func (r *Router) SetLimitShare(key LimitKey, share workspace.Share, now time.Time) {
	r.update(now, func(c *Core) { c.SetLimitShare(key, share) })
}

// Endpoints returns the endpoints that the instance works with, engines and plain services.
func (r *Router) Endpoints() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Endpoints()
}

// Demands calls the function, under the router's lock, for each engine that the instance works with.
func (r *Router) Demands(now time.Time, visit func(address netip.AddrPort, demand endpoint.Demand)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Demands(now, visit)
}

// LimitDemands calls the function, under the router's lock, for each limited workspace in use.
func (r *Router) LimitDemands(now time.Time, visit func(key LimitKey, limits catalogue.Limits, demand workspace.Demand)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.LimitDemands(now, visit)
}

// Tick does what hangs on time alone; call it each 50 ms.
func (r *Router) Tick(now time.Time) {
	r.update(now, func(c *Core) { c.Tick(now) })
}

// Acquire waits until the request may start on an endpoint; it returns a *RefusalError when it is refused, or the context's error.
func (r *Router) Acquire(ctx context.Context, spec *RequestSpec) (*Slot, error) {
	request := r.submit(spec, time.Now())
	if request.decided != nil {
		if err := r.wait(ctx, request); err != nil {
			return nil, err
		}
	}
	if request.refusal != nil {
		return nil, request.refusal
	}
	return &Slot{router: r, request: request}, nil
}

// Place starts a request at once on the endpoint that bears it best; it returns a *RefusalError where none may serve it.
func (r *Router) Place(spec *RequestSpec) (*Slot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.core.Place(spec, time.Now())
	if request.refusal != nil {
		return nil, request.refusal
	}
	return &Slot{router: r, request: request}, nil
}

func (r *Router) submit(spec *RequestSpec, now time.Time) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.core.Submit(spec, now)
	if request.refusal != nil {
		return request
	}
	request.decided = make(chan struct{})
	r.admit(now)
	return request
}

func (r *Router) wait(ctx context.Context, request *Request) error {
	var deadline <-chan time.Time
	if !request.spec.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(request.spec.Deadline))
		defer timer.Stop()
		deadline = timer.C
	}
	select {
	case <-request.decided:
		return nil
	case <-deadline:
		r.withdraw(request, ReasonDeadline)
		return nil
	case <-ctx.Done():
		if r.withdraw(request, ReasonCancelled) {
			return ctx.Err()
		}
		return nil
	}
}

// withdraw takes a flight out of the queue and tells whether it was still there.
func (r *Router) withdraw(request *Request, reason Reason) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request.phase != phaseQueued {
		return false
	}
	r.core.Withdraw(request, reason, time.Now())
	return true
}
