package quota

import (
	"maps"
	"net/netip"
	"time"

	"dogwooddyke/state/process"
)

// SetEndpoints replaces the endpoints that this instance knows, forgets what it knows of others, and passes the limits to the router, which
// may have forgotten them.
func (x *Exchange) SetEndpoints(endpoints []process.ID, now time.Time) {
	live, _ := x.config.Fleet.Size()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.live = live
	clear(x.endpoints)
	clear(x.current)
	for _, e := range endpoints {
		x.endpoints[e] = true
		x.current[e.Address] = e.Start
	}
	x.forgetOthers()
	for _, e := range endpoints {
		x.setInRouter(e, now)
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
