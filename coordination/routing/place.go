package routing

import (
	"math"
	"time"
)

// Place starts a request at once on the endpoint that bears it best, also where none has room. It answers the load pattern of an
// engine that is reclaimed while the others are full: what ran there goes on elsewhere at a price, and waiting would end it.
func (c *Core) Place(spec *RequestSpec, now time.Time) *Request {
	r := c.newRequest(spec, now)
	if r.pool == nil {
		c.refuse(r, ReasonNoEndpoint, time.Time{}, now)
		return r
	}
	e := c.preferredEndpoint(r, now)
	if e == nil {
		e = c.chooseEndpoint(r, now)
	}
	if e == nil {
		e = c.leastFilled(r, now)
	}
	if e == nil {
		c.refuse(r, ReasonNoEndpoint, time.Time{}, now)
		return r
	}
	r.workspaceAccount = c.servedTokens.Enter(spec.Workspace)
	r.limiters = c.limitersFor(spec)
	for _, l := range r.limiters {
		l.Asked(now)
	}
	c.start(r, e, now)
	return r
}

// preferred gives the endpoint that the request asks for, if it may serve it.
func (c *Core) preferredEndpoint(r *Request, now time.Time) *endpointState {
	for _, e := range r.pool.endpoints {
		if e.address == r.spec.PreferredEndpoint && r.ineligibility(e, now) == "" {
			return e
		}
	}
	return nil
}

// leastFull gives the endpoint whose memory a request would fill least, in proportion; nil if none may serve it.
func (c *Core) leastFilled(r *Request, now time.Time) *endpointState {
	runProfile := profile{}
	runProfile.add(r)
	var best *endpointState
	least := math.Inf(1)
	for _, e := range r.pool.endpoints {
		if r.ineligibility(e, now) != "" {
			continue
		}
		e.refreshProfile(now)
		share := e.currentShare(c.config.Instances, now)
		if filled := e.profile.peakWith(&runProfile, share.Spread) / float64(max(share.Memory, 1)); filled < least {
			best, least = e, filled
		}
	}
	return best
}
