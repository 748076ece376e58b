package routing

import (
	"time"

	"dogwooddyke/state/catalogue"
)

// slots gives the generations that an endpoint's share leaves to this instance.
func (c *Core) shareSlots(e *endpointState, now time.Time) int {
	return e.currentShare(c.config.Instances, now).Slots
}

// holdSeconds gives how long a request is expected to hold its slot.
func (r *Request) holdSeconds() float64 {
	step, count := 0.0, 0
	for _, e := range r.pool.endpoints {
		if e.leaving() {
			continue
		}
		step += e.speed.Step(max(e.running(), 1)).Seconds()
		count++
	}
	if count == 0 {
		return r.remainingTokens() * defaultTokenSeconds
	}
	return r.remainingTokens() * step / float64(count)
}

// modelRate gives the starts per second that the shares allow when all requests are like this one.
func (c *Core) modelledStartRate(r *Request, now time.Time) float64 {
	remaining := r.remainingTokens()
	rate := 0.0
	for _, e := range r.pool.endpoints {
		if e.leaving() || e.health.Ejected() {
			continue
		}
		slots := c.shareSlots(e, now)
		seconds := remaining*e.speed.Step(slots).Seconds() + float64(r.promptTokens())*e.prefillSeconds
		rate += float64(slots) / max(seconds, 0.01)
	}
	return rate
}

// expectedWait gives how long a new request is expected to wait for its start.
func (c *Core) expectedWait(r *Request, now time.Time) time.Duration {
	if r.pool.entry.Kind == catalogue.KindService {
		return 0 // plain services have no slots to wait for
	}
	ahead := r.decision.Ahead
	if ahead == 0 && c.hasFreeSlot(r, now) {
		return 0
	}
	rate := r.pool.startRate(c.modelledStartRate(r, now))
	if rate <= 0 {
		// Others hold all of the shares; the stewards even them out as soon as they learn of the demand.
		return shareRenewalPeriod
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

// startRate gives the starts per second that are expected, as observed and, where little was, as modelled.
func (p *pool) startRate(model float64) float64 {
	return (p.backlogStarts + model*startRateModelSeconds) / (p.backlogSeconds + startRateModelSeconds)
}

// room tells whether any endpoint has a free slot of this instance's share.
func (c *Core) hasFreeSlot(r *Request, now time.Time) bool {
	for _, e := range r.pool.endpoints {
		if !e.leaving() && e.running() < c.shareSlots(e, now) {
			return true
		}
	}
	return false
}
