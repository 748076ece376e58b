package routing

import (
	"slices"
	"time"

	"dogwooddyke/state/endpoint"
)

// hasEndpointFor reports whether any endpoint may take the request now or later, for example once a probe of an ejected one succeeds. An
// endpoint that is leaving or excluded by the request doesn't count.
func (p *pool) hasEndpointFor(r *Request) bool {
	return slices.ContainsFunc(p.endpoints, func(e *endpointState) bool {
		return !e.leaving() && !slices.Contains(r.spec.Exclude, e.address) && r.needsVersionOf(e)
	})
}

// retryDelay returns how long a refused caller should wait while no endpoint takes work.
func (p *pool) retryDelay() time.Duration { return 4 * minimumRetryDelay }

// mayEject reports whether one more endpoint may be ejected without exceeding maximumEjectedFraction.
func (p *pool) mayEject(_ time.Time) bool {
	live, ejected := 0, 0
	for _, e := range p.endpoints {
		if e.leaving() {
			continue
		}
		live++
		if e.health.Ejected() {
			ejected++
		}
	}
	return float64(ejected+1) <= maximumEjectedFraction*float64(live)
}

// ejectSlow ejects endpoints whose time between tokens is far above the median of the pool.
func (c *Core) ejectSlow(p *pool, now time.Time) {
	if now.Sub(p.speedChecked) < speedCheckPeriod {
		return
	}
	p.speedChecked = now
	var intervals []time.Duration
	for _, e := range p.endpoints {
		if interval, reliable := e.speed.Recent(); reliable && !e.leaving() {
			intervals = append(intervals, interval)
		}
	}
	if len(intervals) < 3 {
		return
	}
	slices.Sort(intervals)
	median := intervals[(len(intervals)-1)/2]
	for _, e := range p.endpoints {
		interval, reliable := e.speed.Recent()
		if reliable && endpoint.Slow(interval, median) && !e.health.Ejected() && p.mayEject(now) {
			c.eject(e, now)
		}
	}
}
