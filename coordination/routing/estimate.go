package routing

import (
	"time"

	"dogwooddyke/state/catalogue"
)

// shareSlots returns the number of runs that this instance may have on an endpoint.
func (c *Core) shareSlots(e *endpointState, now time.Time) int {
	return e.currentShare(c.config.Instances, now).Slots
}

// holdSeconds returns for how many seconds a request is expected to occupy its slot.
func (r *Request) holdSeconds() float64 {
	step, _ := r.pool.meanSpeed()
	return r.remainingTokens() * step.Seconds()
}

// meanSpeed returns the mean time between tokens, and the mean time per prompt token, of the endpoints that take work.
func (p *pool) meanSpeed() (step, promptToken time.Duration) {
	count := time.Duration(0)
	for _, e := range p.endpoints {
		if e.leaving() {
			continue
		}
		step += e.speed.Step(max(e.running(), 1))
		promptToken += p.tokenTime(e)
		count++
	}
	if count == 0 {
		return defaultTokenTime, priorTokenTime
	}
	return step / count, promptToken / count
}

// isPlain reports whether the endpoints are plain services.
func (p *pool) isPlain() bool { return p.entry.Kind == catalogue.KindService }

// modelledStartRate returns the starts per second that the instance's shares allow at endpoints of the request's version if all requests are like this one.
func (c *Core) modelledStartRate(r *Request, now time.Time) float64 {
	remaining := r.remainingTokens()
	rate := 0.0
	for _, e := range r.pool.endpoints {
		if e.leaving() || e.health.Ejected() || !r.needsVersionOf(e) {
			continue
		}
		slots := c.shareSlots(e, now)
		seconds := remaining*e.speed.Step(slots).Seconds() + float64(r.promptTokens())*r.pool.tokenTime(e).Seconds()
		starts := float64(slots) / max(seconds, 0.01)
		if e.quota.limited {
			starts = min(starts, e.quota.expected)
		}
		rate += starts
	}
	return rate
}

// expectedWait returns how long a new request is expected to wait for its start.
func (c *Core) expectedWait(r *Request, now time.Time) time.Duration {
	if r.pool.isPlain() {
		return 0 // plain services have no slots to wait for
	}
	ahead := r.decision.Ahead
	if ahead == 0 && c.hasFreeSlot(r, now) {
		return 0
	}
	rate := r.startRate(c.modelledStartRate(r, now))
	if rate <= 0 {
		// Other instances hold all shares; the stewards redistribute them once they learn of this instance's demand.
		return shareRenewalPeriod
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

// startRate returns the expected starts per second of requests like this one. What was observed counts for all versions together.
func (r *Request) startRate(model float64) float64 {
	if r.spec.Version != "" {
		return model
	}
	return r.pool.startRate(model)
}

// startRate returns the expected starts per second: the observed rate, combined with the modelled one while there are few observations.
func (p *pool) startRate(model float64) float64 {
	return (p.backlogStarts + model*startRateModelSeconds) / (p.backlogSeconds + startRateModelSeconds)
}

// hasFreeSlot reports whether this instance's share has a free slot on any endpoint.
func (c *Core) hasFreeSlot(r *Request, now time.Time) bool {
	for _, e := range r.pool.endpoints {
		if !e.leaving() && r.needsVersionOf(e) && e.quota.allows(r, now) && e.running() < c.shareSlots(e, now) {
			return true
		}
	}
	return false
}
