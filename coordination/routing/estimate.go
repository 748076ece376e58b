package routing

import (
	"time"

	"dogwooddyke/state/catalogue"
)

// slots gives the generations that an endpoint's share leaves to this instance.
func (c *Core) slots(a *account, now time.Time) int {
	return a.current(c.config.Instances, now).Slots
}

// holdSeconds gives how long a request is expected to hold its slot.
func (f *Request) holdSeconds() float64 {
	step, count := 0.0, 0
	for _, a := range f.pool.accounts {
		if a.leaving() {
			continue
		}
		step += a.speed.Step(max(a.running(), 1)).Seconds()
		count++
	}
	if count == 0 {
		return f.remaining() * targetStep
	}
	return f.remaining() * step / float64(count)
}

// modelRate gives the starts per second that the shares allow when all requests are like this one.
func (c *Core) modelRate(f *Request, now time.Time) float64 {
	length := f.remaining()
	rate := 0.0
	for _, a := range f.pool.accounts {
		if a.leaving() || a.health.Ejected() {
			continue
		}
		slots := c.slots(a, now)
		hold := length*a.speed.Step(slots).Seconds() + float64(f.prompt())*a.prefill
		rate += float64(slots) / max(hold, 0.01)
	}
	return rate
}

// expectedWait gives how long a new request is expected to wait for its start.
func (c *Core) expectedWait(f *Request, now time.Time) time.Duration {
	if f.pool.entry.Kind == catalogue.KindService {
		return 0 // plain services have no slots to wait for
	}
	ahead := f.decision.Ahead
	if ahead == 0 && c.room(f, now) {
		return 0
	}
	rate := f.pool.startRate(c.modelRate(f, now))
	if rate <= 0 {
		// Others hold all of the shares; the stewards even them out as soon as they learn of the demand.
		return shareRenewal
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

// startRate gives the starts per second that are expected, as observed and, where little was, as modelled.
func (p *pool) startRate(model float64) float64 {
	return (p.starts + model*rateModelSeconds) / (p.waited + rateModelSeconds)
}

// room tells whether any endpoint has a free slot of this instance's share.
func (c *Core) room(f *Request, now time.Time) bool {
	for _, a := range f.pool.accounts {
		if !a.leaving() && a.running() < c.slots(a, now) {
			return true
		}
	}
	return false
}
