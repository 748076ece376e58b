package instance

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc/pool"

	"dogwooddyke/internal/wait"
	"dogwooddyke/state/endpoint"
)

// exchangeShares asks the stewards for this instance's shares whenever their time has come.
func (i *Instance) exchangeShares(ctx context.Context) {
	each(ctx, shareInterval, func(now time.Time) { i.shares.Round(ctx, now) })
}

// pollLoads reads the reports of the endpoints that this instance is the steward of.
func (i *Instance) pollLoads(ctx context.Context) {
	each(ctx, loadInterval, func(now time.Time) {
		workers := pool.New().WithMaxGoroutines(pollWorkers)
		for _, a := range i.shares.EndpointsToPoll(now) {
			workers.Go(func() { i.pollLoad(ctx, a) })
		}
		workers.Wait()
	})
}

func (i *Instance) pollLoad(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := i.loads.Load(ctx, address)
	i.metrics.event("loadRead", err)
	if err != nil {
		return
	}
	now := time.Now()
	if load.State == endpoint.StateLeaving {
		i.members.Leave(now, address)
	} else {
		i.members.Ready(now, address)
	}
	if load.State == endpoint.StateEmpty {
		i.hintOrders(address)
	}
	i.shares.UpdateLoad(address, load, now)
}

// hintOrders makes this instance look at once at the entries of an engine that came back empty, if it has their leases.
func (i *Instance) hintOrders(address netip.AddrPort) {
	for _, e := range i.View().Entries() {
		for _, p := range e.Endpoints {
			if p.Address == address {
				i.orders.Trigger(e.Name)
			}
		}
	}
}

// cachePlace is how far an endpoint's cache events have been read.
type cachePlace struct {
	next uint64
	at   time.Time // of the latest read
	due  bool
}

// pollCaches reads what the endpoints that this instance works with say of their prefix caches: often while it uses them,
// seldom otherwise.
func (i *Instance) pollCaches(ctx context.Context) {
	places := make(map[netip.AddrPort]cachePlace)
	each(ctx, cacheInterval, func(now time.Time) {
		places = i.cachePlaces(places, now)
		for a, p := range places {
			if p.due {
				places[a] = cachePlace{next: i.pollCache(ctx, a, p.next), at: now}
			}
		}
	})
}

// cachePlaces tells which endpoints are due, and forgets those that the instance does not work with any more.
func (i *Instance) cachePlaces(former map[netip.AddrPort]cachePlace, now time.Time) map[netip.AddrPort]cachePlace {
	places := make(map[netip.AddrPort]cachePlace, len(former))
	i.router.Demands(now, func(address netip.AddrPort, demand endpoint.Demand) {
		p := former[address]
		p.due = demand.Running > 0 || demand.Waiting > 0 || now.Sub(p.at) >= cacheIdleInterval
		places[address] = p
	})
	return places
}

// pollCache takes in an endpoint's events after the sequence number and returns the next one.
func (i *Instance) pollCache(ctx context.Context, address netip.AddrPort, after uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	events, next, err := i.loads.CacheEvents(ctx, address, after)
	i.metrics.event("cacheRead", err)
	if err != nil {
		return after
	}
	if next < after {
		// The engine counts from the start again.
		return 0
	}
	i.router.UpdateCache(address, events, time.Now())
	return next
}

// watchLeaving follows what any source says of leaving endpoints, and of this instance itself, whose stop the platform may
// announce on its list before it sends the signal.
func (i *Instance) watchLeaving(ctx context.Context) {
	each(ctx, leavingInterval, func(now time.Time) {
		i.followLeaving(now)
		i.handler.SetUnready(!i.running() || i.members.Leaving(i.settings.Peers))
	})
}

// followLeaving stops new work to endpoints that any source says are leaving, and lets it go on to those that came back.
func (i *Instance) followLeaving(now time.Time) {
	for _, a := range i.router.Endpoints() {
		i.router.SetLeaving(a, i.members.Leaving(a), now)
	}
}

// each calls the function at jittered intervals until the context ends.
func each(ctx context.Context, interval time.Duration, do func(now time.Time)) {
	for wait.For(ctx, interval*3/4+rand.N(interval/2)) == nil {
		do(time.Now())
	}
}
