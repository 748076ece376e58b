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

// Router is a Core that is safe for concurrent use. Its single lock is never held while another lock is taken or a goroutine blocks.
type Router struct {
	mu   sync.Mutex
	core *Core
}

// New returns a router without entries.
func New(config Config) *Router { return &Router{core: NewCore(config)} }

// update changes the core and then admits the queued requests that can start because of the change.
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

// SetEntry adds an entry or replaces it.
func (r *Router) SetEntry(entry *catalogue.Entry, now time.Time) {
	r.update(now, func(c *Core) { c.SetEntry(entry, now) })
}

// RemoveEntry removes an entry and refuses its queued requests.
func (r *Router) RemoveEntry(name string, now time.Time) {
	r.update(now, func(c *Core) { c.RemoveEntry(name) })
}

// HasRuns reports whether runs of an entry are in progress.
func (r *Router) HasRuns(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.HasRuns(name)
}

// SetWorkspace adds a workspace or replaces its limits.
func (r *Router) SetWorkspace(w *catalogue.Workspace, now time.Time) {
	r.update(now, func(c *Core) { c.SetWorkspace(w) })
}

// RemoveWorkspace removes the limits of a workspace.
func (r *Router) RemoveWorkspace(name string, now time.Time) {
	r.update(now, func(c *Core) { c.RemoveWorkspace(name) })
}

// SetInstances sets the number of instances that share the endpoints and limits.
func (r *Router) SetInstances(count int, now time.Time) {
	r.update(now, func(c *Core) { c.SetInstances(count) })
}

// SetDraining sets whether new requests are refused; queued and running requests continue.
func (r *Router) SetDraining(draining bool, now time.Time) {
	r.update(now, func(c *Core) { c.SetDraining(draining) })
}

// SetClosing sets the time until which answers must have ended; requests that are not likely to end by then are refused.
func (r *Router) SetClosing(at, now time.Time) {
	r.update(now, func(c *Core) { c.SetClosing(at) })
}

// UpdateLoad applies a load report of an engine.
func (r *Router) UpdateLoad(address netip.AddrPort, load endpoint.Load, now time.Time) {
	r.update(now, func(c *Core) { c.UpdateLoad(address, load, now) })
}

// UpdateCache applies cache events of an engine.
func (r *Router) UpdateCache(address netip.AddrPort, events []endpoint.CacheEvent, now time.Time) {
	r.update(now, func(c *Core) { c.UpdateCache(address, events) })
}

// SetLeaving sets whether an endpoint is leaving according to a source other than the catalogue and its load reports. A leaving
// endpoint takes no new work.
func (r *Router) SetLeaving(address netip.AddrPort, leaving bool, now time.Time) {
	r.update(now, func(c *Core) { c.SetLeaving(address, leaving) })
}

// SetResting sets the time until which an endpoint is sent nothing.
func (r *Router) SetResting(address netip.AddrPort, until, now time.Time) {
	r.update(now, func(c *Core) { c.SetResting(address, until) })
}

// ExtendRest is SetResting, unless a longer rest is known.
func (r *Router) ExtendRest(address netip.AddrPort, until, now time.Time) {
	r.update(now, func(c *Core) { c.ExtendRest(address, until) })
}

// SetDoubted sets whether an endpoint may be leaving.
func (r *Router) SetDoubted(address netip.AddrPort, doubted bool, now time.Time) {
	r.update(now, func(c *Core) { c.SetDoubted(address, doubted) })
}

// SetShare replaces this instance's share of an endpoint.
func (r *Router) SetShare(address netip.AddrPort, share endpoint.Share, now time.Time) {
	r.update(now, func(c *Core) { c.SetShare(address, share) })
}

// SetPeerLoads replaces this instance's shares of engines and what the other instances have in progress there.
func (r *Router) SetPeerLoads(loads []PeerLoad, now time.Time) {
	r.update(now, func(c *Core) {
		for _, l := range loads {
			c.SetShare(l.Endpoint, l.Share)
			c.SetPeerLoad(l, now)
		}
	})
}

// ObservePeerPrefill adds a time per prompt token that another instance has measured at an engine.
func (r *Router) ObservePeerPrefill(address netip.AddrPort, tokenTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.ObservePeerPrefill(address, tokenTime)
}

// ObservePeerInterval adds a mean time between tokens that another instance has measured at an engine.
func (r *Router) ObservePeerInterval(address netip.AddrPort, interval time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.ObservePeerInterval(address, interval, now)
}

// SetRateLimit sets whether an endpoint limits the rate of its requests, and the permits per second that this instance can expect.
func (r *Router) SetRateLimit(address netip.AddrPort, limited bool, expected float64, now time.Time) {
	r.update(now, func(c *Core) { c.SetRateLimit(address, limited, expected) })
}

// PermitAsks returns the asks for permits that are to be sent now.
func (r *Router) PermitAsks(now time.Time) []PermitAsk {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.PermitAsks(now)
}

// Grant adds the permits of an answer to an ask.
func (r *Router) Grant(g PermitGrant, now time.Time) {
	r.update(now, func(c *Core) { c.Grant(g) })
}

// SetLimitShare replaces this instance's share of the limits with the given key.
func (r *Router) SetLimitShare(key LimitKey, share workspace.Share, now time.Time) {
	r.update(now, func(c *Core) { c.SetLimitShare(key, share) })
}

// Endpoints returns the addresses of the engines and plain services that this instance uses.
func (r *Router) Endpoints() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Endpoints()
}

// Demands calls visit with this instance's demand for each engine that it uses. The router's lock is held during the calls.
func (r *Router) Demands(now time.Time, visit func(address netip.AddrPort, demand endpoint.Demand)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Demands(now, visit)
}

// LimitDemands calls visit with this instance's demand for each set of limits in use. The router's lock is held during the calls.
func (r *Router) LimitDemands(now time.Time, visit func(key LimitKey, limits catalogue.Limits, demand workspace.Demand)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.LimitDemands(now, visit)
}

// QueueSize returns the number of requests that wait for a place.
func (r *Router) QueueSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.queue.size
}

// Tick does the periodic work; it must be called every 50 ms while requests wait, and several times a second otherwise.
func (r *Router) Tick(now time.Time) {
	r.update(now, func(c *Core) { c.Tick(now) })
}

// Acquire waits until the request is admitted to an endpoint. It returns a *RefusalError if the request is refused, or the context's
// error.
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

// Place starts a request immediately on the most suitable endpoint, even if none has room. It returns a *RefusalError if no endpoint
// is eligible.
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

// withdraw removes a request from the queue and reports whether it was still queued.
func (r *Router) withdraw(request *Request, reason Reason) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request.phase != phaseQueued {
		return false
	}
	r.core.Withdraw(request, reason, time.Now())
	return true
}
