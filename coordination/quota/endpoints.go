package quota

import (
	"maps"
	"net/netip"
	"time"

	"dogwooddyke/state/process"
	"dogwooddyke/state/ratelimit"
)

// Endpoint is an endpoint that this instance knows.
type Endpoint struct {
	Process process.ID
	Cold    Cold
}

// Cold is the limit of an endpoint that has just started, which no answer names; the zero value says that the endpoint is not cold.
type Cold struct {
	PerSecond float64 // requests that the endpoint takes from all instances together; zero: any number
	Until     time.Time
}

// holds reports whether the limit holds.
func (c Cold) holds(now time.Time) bool { return c.PerSecond > 0 && now.Before(c.Until) }

// SetEndpoints replaces the endpoints that this instance knows, forgets what it knows of others, and passes the limits to the router, which
// may have forgotten them.
func (x *Exchange) SetEndpoints(endpoints []Endpoint, now time.Time) {
	live, _ := x.config.Fleet.Size()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.live = live
	clear(x.endpoints)
	clear(x.current)
	clear(x.cold)
	for _, e := range endpoints {
		x.endpoints[e.Process] = true
		x.current[e.Process.Address] = e.Process.Start
		if e.Cold.holds(now) {
			x.cold[e.Process] = e.Cold
		}
	}
	x.forgetOthers()
	for _, e := range endpoints {
		x.setInRouter(e.Process, now)
	}
	x.recordEarly(now)
}

// forgetOthers forgets what is known of endpoints that this instance does not know any more; the caller holds the mutex.
func (x *Exchange) forgetOthers() {
	keep := func(e process.ID) bool { return x.endpoints[e] }
	gone := func(a netip.AddrPort) bool {
		_, known := x.current[a]
		return !known
	}
	x.limits.Retain(keep)
	x.steward.Retain(keep)
	maps.DeleteFunc(x.reported, func(e process.ID, _ *notice) bool { return !keep(e) })
	maps.DeleteFunc(x.limited, func(a netip.AddrPort, _ bool) bool { return gone(a) })
	maps.DeleteFunc(x.answered, func(a netip.AddrPort, _ uint64) bool { return gone(a) })
}

// recordEarly records the news of endpoints that have become known, and drops old ones; the caller holds the mutex.
func (x *Exchange) recordEarly(now time.Time) {
	for e, n := range x.early {
		known := x.endpoints[e]
		if known {
			x.record(n, "earlier report", false, now)
		}
		if known || now.Sub(n.At) > earlyLifetime {
			delete(x.early, e)
		}
	}
}

// Expire ends the limits of endpoints that are not cold any more; it must be called several times a second.
func (x *Exchange) Expire(now time.Time) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for e, cold := range x.cold {
		if !cold.holds(now) {
			delete(x.cold, e)
			x.setInRouter(e, now)
		}
	}
}

// ColdEndpoints returns the number of endpoints whose limit holds because they have just started.
func (x *Exchange) ColdEndpoints() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return len(x.cold)
}

// limitOf returns the strictest limit of an endpoint, and whether that is the one of a cold endpoint; the caller holds the mutex. Permits are used up to
// permitLifetime after they are due, so that those of more than a second may be used within one: a cold endpoint gets somewhat fewer than it takes.
func (x *Exchange) limitOf(e process.ID, now time.Time) (limit ratelimit.Limit, isCold bool) {
	limit = x.limits.Limit(e)
	cold := x.cold[e]
	perSecond := coldFraction * cold.PerSecond
	if !cold.holds(now) || limit.Named && limit.PerSecond <= perSecond {
		return limit, false
	}
	return ratelimit.Limit{Named: true, PerSecond: perSecond}, true
}
