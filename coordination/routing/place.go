package routing

import (
	"math"
	"time"
)

// Place starts a request immediately on the most suitable endpoint, even if none has room. When an engine is reclaimed while the others
// are full, its runs must continue elsewhere at the cost of the runs there, because they would be lost if they were queued. If only a permit
// is missing, Place asks for one and refuses with ReasonRateLimit; if only endpoints that rest are left, it refuses with ReasonResting. The caller
// should try again shortly then.
func (c *Core) Place(spec *RequestSpec, now time.Time) *Request {
	r := c.newRequest(spec, now)
	r.inProgress = true
	if r.pool == nil {
		c.refuse(r, ReasonNoEndpoint, time.Time{}, now)
		return r
	}
	e := c.preferredEndpoint(r, now)
	if e == nil && spec.PreferredEndpoint.IsValid() {
		if reason := c.preferredIsHeldBack(r, now); reason != "" {
			c.refuse(r, reason, time.Time{}, now)
			return r
		}
	}
	if e == nil && spec.PreferredOnly {
		c.refuse(r, ReasonNoEndpoint, time.Time{}, now)
		return r
	}
	if e == nil {
		e = c.chooseEndpoint(r, now)
	}
	if e == nil {
		e = c.leastFilled(r, now)
	}
	if e == nil {
		reason := ReasonNoEndpoint
		switch {
		case c.demandUrgentPermit(r, now):
			reason = ReasonRateLimit
		case r.isHeldBack(now):
			reason = ReasonResting
		}
		c.refuse(r, reason, time.Time{}, now)
		return r
	}
	r.workspaceAccount = c.servedTokens.Begin(spec.Workspace)
	r.limiters = c.limitersFor(spec)
	for _, l := range r.limiters {
		l.Submitted(now)
	}
	c.start(r, e, now)
	return r
}

// preferredEndpoint returns the endpoint that the request prefers, or nil if it names none or the endpoint is not eligible.
func (c *Core) preferredEndpoint(r *Request, now time.Time) *endpointState {
	for _, e := range r.pool.endpoints {
		if e.address == r.spec.PreferredEndpoint && r.preferredIneligibility(e, now) == "" {
			return e
		}
	}
	return nil
}

// preferredIneligibility is ineligibility for the preferred endpoint. If only that one can serve the request, it may be leaving.
func (r *Request) preferredIneligibility(e *endpointState, now time.Time) Verdict {
	if r.spec.PreferredOnly {
		return r.unavailability(e, now)
	}
	return r.ineligibility(e, now)
}

// preferredIsHeldBack returns why the preferred endpoint can't take the run now but may soon; the reason is empty if it can't at all.
func (c *Core) preferredIsHeldBack(r *Request, now time.Time) Reason {
	if c.demandUrgentPermit(r, now) {
		return ReasonRateLimit
	}
	for _, e := range r.pool.endpoints {
		if e.address == r.spec.PreferredEndpoint && r.preferredIneligibility(e, now) == VerdictResting {
			return ReasonResting
		}
	}
	return ""
}

// leastFilled returns the eligible endpoint whose memory share would be filled least, as a fraction, with the request added; nil if none
// is eligible.
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
		filled := e.profile.peakWith(&runProfile, share.Spread) / float64(max(share.Memory, 1))
		if e.doubted {
			filled += doubtedFill
		}
		if filled < least {
			best, least = e, filled
		}
	}
	return best
}
