package routing

import (
	"cmp"
	"slices"
	"time"

	"dogwooddyke/state/catalogue"
)

// giveUp refuses queued requests that can't start in time any more. It answers the load pattern of engines that are lost, or of more
// urgent requests that come, while many wait: what was expected at their submission doesn't hold, and who waited for nothing until a
// deadline would hear too late to go elsewhere. Those behind a refused one move up, so no more are refused than have to be.
func (c *Core) giveUp(now time.Time) {
	for _, p := range c.entries {
		if !p.backlog || p.entry.Kind == catalogue.KindService || now.Sub(p.searched) < hopelessPeriod {
			continue
		}
		p.searched = now
		for _, h := range c.hopeless(p, now) {
			f := h.flight
			patience := f.ask.Deadline.Sub(f.submitted)
			c.Withdraw(f, ReasonDeadline, now)
			f.refusal.RetryAt = retryAfter(h.wait, now.Add(patience), now)
			c.decided = append(c.decided, f)
		}
	}
}

// hopeless is a queued request with the time that it would still wait.
type hopeless struct {
	flight *Request
	wait   time.Duration
}

// hopeless gives the pool's queued requests that would start too late, walking through them in the order in which they are served.
func (c *Core) hopeless(p *pool, now time.Time) []hopeless {
	var found []hopeless
	ahead := 0
	for _, f := range c.inOrder(p, now) {
		model := c.modelRate(f, now)
		rate := max(p.startRate(model), model) * hopelessMargin // the observed one lags when engines come back
		wait := time.Duration(float64(ahead) / max(rate, leastRate) * float64(time.Second))
		if rate > 0 && !f.ask.Deadline.IsZero() && now.Add(wait).After(f.ask.Deadline) {
			found = append(found, hopeless{f, wait})
			continue
		}
		ahead++
	}
	return found
}

// inOrder gives the pool's queued requests that no limit holds back about as they will be served: by urgency, and from the workspace
// that will have been served least until then.
func (c *Core) inOrder(p *pool, now time.Time) []*Request {
	type turn struct {
		flight  *Request
		urgency int
		served  float64
	}
	var turns []turn
	for _, l := range c.queue.lines {
		if l.head().pool != p || !c.allowed(l.head(), now) {
			continue
		}
		served := l.head().service.Served
		for _, f := range l.flights {
			turns = append(turns, turn{f, f.urgency(now), served})
			served += f.charge()
		}
	}
	slices.SortStableFunc(turns, func(a, b turn) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.served, b.served))
	})
	flights := make([]*Request, 0, len(turns))
	for _, t := range turns {
		flights = append(flights, t.flight)
	}
	return flights
}
