package routing

import (
	"slices"
	"time"

	"dogwooddyke/state/endpoint"
)

// usable tells whether any endpoint of the entry may take the request, now or after a probe: one that has failed it may not.
func (p *pool) usable(f *Request) bool {
	return slices.ContainsFunc(p.accounts, func(a *account) bool {
		return !a.leaving() && !slices.Contains(f.ask.Exclude, a.address)
	})
}

// returnAfter gives when asking again makes sense while no endpoint takes work.
func (p *pool) returnAfter() time.Duration { return 4 * minimumRetry }

// mayEject tells whether one more endpoint may be ejected.
func (p *pool) mayEject(_ time.Time) bool {
	live, out := 0, 0
	for _, a := range p.accounts {
		if a.leaving() {
			continue
		}
		live++
		if a.health.Ejected() {
			out++
		}
	}
	return float64(out+1) <= ejectFraction*float64(live)
}

// judgeSpeed ejects the endpoints whose time between tokens is far above the others'.
func (c *Core) judgeSpeed(p *pool, now time.Time) {
	if now.Sub(p.judged) < judgePeriod {
		return
	}
	p.judged = now
	var intervals []time.Duration
	for _, a := range p.accounts {
		if interval, sure := a.speed.Recent(); sure && !a.leaving() {
			intervals = append(intervals, interval)
		}
	}
	if len(intervals) < 3 {
		return
	}
	slices.Sort(intervals)
	median := intervals[(len(intervals)-1)/2]
	for _, a := range p.accounts {
		interval, sure := a.speed.Recent()
		if sure && endpoint.Slow(interval, median) && !a.health.Ejected() && p.mayEject(now) {
			c.eject(a, now)
		}
	}
}
