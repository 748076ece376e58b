package routing

import (
	"math"
	"time"
)

// Place starts a request at once on the endpoint that bears it best, also where none has room. It answers the load pattern of an
// engine that is reclaimed while the others are full: what ran there goes on elsewhere at a price, and waiting would end it.
func (c *Core) Place(ask *Ask, now time.Time) *Flight {
	f := c.newFlight(ask, now)
	if f.pool == nil {
		c.refuse(f, ReasonNoEndpoint, time.Time{}, now)
		return f
	}
	a := c.preferred(f, now)
	if a == nil {
		a = c.choose(f, now)
	}
	if a == nil {
		a = c.leastFull(f, now)
	}
	if a == nil {
		c.refuse(f, ReasonNoEndpoint, time.Time{}, now)
		return f
	}
	f.service = c.service.Begin(ask.Workspace)
	f.limiters = c.limitersOf(ask)
	for _, l := range f.limiters {
		l.Submitted(now)
	}
	c.start(f, a, now)
	return f
}

// preferred gives the endpoint that the request asks for, if it may serve it.
func (c *Core) preferred(f *Flight, now time.Time) *account {
	for _, a := range f.pool.accounts {
		if a.address == f.ask.Prefer && f.barred(a, now) == "" {
			return a
		}
	}
	return nil
}

// leastFull gives the endpoint whose memory a request would fill least, in proportion; nil if none may serve it.
func (c *Core) leastFull(f *Flight, now time.Time) *account {
	own := profile{}
	own.add(f)
	var best *account
	least := math.Inf(1)
	for _, a := range f.pool.accounts {
		if f.barred(a, now) != "" {
			continue
		}
		a.foresee(now)
		share := a.current(c.config.Instances, now)
		if filled := a.profile.with(&own, share.Spread) / float64(max(share.Memory, 1)); filled < least {
			best, least = a, filled
		}
	}
	return best
}
