package instance

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc/pool"

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
		for _, a := range i.shares.Polls(now) {
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
	i.shares.UpdateLoad(address, load, now)
}

// pollCaches reads what the endpoints that this instance works with say of their prefix caches.
func (i *Instance) pollCaches(ctx context.Context) {
	after := make(map[netip.AddrPort]uint64)
	each(ctx, cacheInterval, func(now time.Time) {
		seen := make(map[netip.AddrPort]uint64, len(after))
		i.router.Demands(now, func(address netip.AddrPort, _ endpoint.Demand) { seen[address] = after[address] })
		for a := range seen {
			seen[a] = i.pollCache(ctx, a, seen[a])
		}
		after = seen
	})
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

func (i *Instance) watchLeaving(ctx context.Context) {
	each(ctx, leavingInterval, i.followLeaving)
}

// followLeaving stops new work to endpoints that any source says are leaving.
func (i *Instance) followLeaving(now time.Time) {
	var leaving []netip.AddrPort
	i.router.Demands(now, func(address netip.AddrPort, _ endpoint.Demand) {
		if i.members.Leaving(address) {
			leaving = append(leaving, address)
		}
	})
	for _, a := range leaving {
		i.router.Leaving(a, now)
	}
}

// each calls the function at jittered intervals until the context ends.
func each(ctx context.Context, interval time.Duration, do func(now time.Time)) {
	for sleep(ctx, interval*3/4+rand.N(interval/2)) == nil {
		do(time.Now())
	}
}

// sleep waits, or returns the context's error.
func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
