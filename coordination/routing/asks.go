package routing

import (
	"net/netip"
	"time"
)

// PermitAsk is this instance's need for permits of one endpoint.
type PermitAsk struct {
	Endpoint netip.AddrPort
	Count    int           // permits, at least 1
	Patience time.Duration // for which a request waits for a permit at most
	Urgent   bool          // for runs in progress, which would otherwise break off
	Spent    int           // requests that were sent without a permit since the latest ask
}

// PermitAsks returns the asks for permits that are to be sent now.
func (c *Core) PermitAsks(now time.Time) []PermitAsk {
	var asks []PermitAsk
	for _, p := range c.sortedPools {
		if !p.anyLimited() {
			continue
		}
		for _, e := range p.endpoints {
			e.quota.update(now)
		}
		asks = append(asks, p.urgentAsks(now)...)
		asks = append(asks, c.asksOfQueue(p, now)...)
		asks = append(asks, p.asksAhead(now)...)
	}
	return asks
}

// ask marks an ask as sent and returns it.
func (e *endpointState) ask(count int, patience time.Duration, urgent bool, now time.Time) PermitAsk {
	a := PermitAsk{Endpoint: e.address, Count: min(count, maximumPermitsPerAsk), Patience: patience, Urgent: urgent, Spent: e.quota.spent}
	e.quota.askedAt, e.quota.spent = now, 0
	return a
}

// urgentAsks returns the asks for runs in progress. They do not wait for the time before which other asks would be in vain.
func (p *pool) urgentAsks(now time.Time) []PermitAsk {
	var asks []PermitAsk
	for _, e := range p.endpoints {
		if q := &e.quota; q.limited && q.wanted && q.askedAt.IsZero() {
			asks = append(asks, e.ask(1, 0, true, now))
			q.wanted = false
		}
	}
	return asks
}

// asksOfQueue returns the asks for the pool's queued requests that only limited endpoints can take, spread over these endpoints.
func (c *Core) asksOfQueue(p *pool, now time.Time) []PermitAsk {
	waiting, patience := 0, time.Duration(0)
	for _, r := range c.servingOrder(p, now) {
		if r.isHeldBack(now) {
			waiting++
			patience = max(patience, r.latestPermit().Sub(now))
		}
	}
	var askable []*endpointState
	p.nextAsked++
	for n := range p.endpoints {
		e := p.endpoints[(p.nextAsked+n)%len(p.endpoints)]
		waiting -= len(e.quota.permits)
		if e.mayBeAsked(now) {
			askable = append(askable, e)
		}
	}
	if waiting <= 0 || len(askable) == 0 {
		return nil
	}
	var asks []PermitAsk
	for n, e := range askable {
		if count := (waiting + len(askable) - 1 - n) / len(askable); count > 0 {
			asks = append(asks, e.ask(count, max(patience, 0), false, now))
		}
	}
	return asks
}

// asksAhead returns an ask for the next request, if one has started since the latest call: an endpoint that limits its rate takes part of
// the requests also while others have room. Such a permit must be valid at once.
func (p *pool) asksAhead(now time.Time) []PermitAsk {
	if !p.started {
		return nil
	}
	p.started = false
	for range p.endpoints {
		p.nextAsked++
		e := p.endpoints[p.nextAsked%len(p.endpoints)]
		if e.mayBeAsked(now) && len(e.quota.permits) == 0 {
			return []PermitAsk{e.ask(1, 0, false, now)}
		}
	}
	return nil
}

// mayBeAsked reports whether permits of the endpoint would be of use and may be asked for now.
func (e *endpointState) mayBeAsked(now time.Time) bool {
	return e.quota.askable(now) && !e.leaving() && !e.health.Blocked(now)
}
