package routing

import (
	"net/netip"
	"slices"
	"time"
)

// An endpoint may limit the rate of requests that it takes from all instances together. Each request to it then needs a permit, which the
// router takes at the start of the request. The permits come from outside: PermitAsks says how many are needed where, and Grant and Deny
// bring the answer. A request that only limited endpoints could take waits for a permit for a short time; if none comes in time, it is
// refused.

// Permit is the right to send one request to an endpoint within a span of time.
type Permit struct {
	From  time.Time
	Until time.Time
}

// valid reports whether the permit may be used now.
func (p Permit) valid(now time.Time) bool { return !now.Before(p.From) && now.Before(p.Until) }

// expired reports whether the permit may not be used any more.
func (p Permit) expired(now time.Time) bool { return !now.Before(p.Until) }

// PermitAsk is this instance's need for permits of one endpoint.
type PermitAsk struct {
	Endpoint netip.AddrPort
	Count    int           // permits, at least 1
	Patience time.Duration // for which a request waits for a permit at most
	Urgent   bool          // for runs in progress, which would otherwise break off
	Spent    int           // requests that were sent without a permit since the latest ask
}

// quota is what this instance may send to an endpoint that limits the rate of its requests.
type quota struct {
	limited  bool
	expected float64   // permits per second that this instance can expect
	permits  []Permit  // in order of From
	urgent   []Permit  // for runs in progress only
	askedAt  time.Time // time of the ask without an answer; zero: none
	retryAt  time.Time // time before which another ask would be in vain
	wanted   bool      // a run in progress needs a permit
	spent    int       // requests that were sent without a permit since the latest ask
}

// allows reports whether the quota allows the request now. A run in progress may use each permit, a new request only those that are not
// reserved for runs in progress.
func (q *quota) allows(r *Request, now time.Time) bool {
	valid := func(p Permit) bool { return p.valid(now) }
	return !q.limited || slices.ContainsFunc(q.permits, valid) || r.inProgress && slices.ContainsFunc(q.urgent, valid)
}

// take uses a permit for a request that is sent now. Without one, the request is reported with the next ask.
func (q *quota) take(r *Request, now time.Time) {
	if !q.limited || r.inProgress && useFirst(&q.urgent, now) || useFirst(&q.permits, now) {
		return
	}
	q.spent++
}

// useFirst removes the first permit that is valid now, and reports whether there was one.
func useFirst(permits *[]Permit, now time.Time) bool {
	n := slices.IndexFunc(*permits, func(p Permit) bool { return p.valid(now) })
	if n < 0 {
		return false
	}
	*permits = slices.Delete(*permits, n, n+1)
	return true
}

// update drops the permits that have expired, and gives up an ask that has not been answered.
func (q *quota) update(now time.Time) {
	expired := func(p Permit) bool { return p.expired(now) }
	q.permits = slices.DeleteFunc(q.permits, expired)
	q.urgent = slices.DeleteFunc(q.urgent, expired)
	if !q.askedAt.IsZero() && now.Sub(q.askedAt) >= permitAskTimeout {
		q.askedAt, q.retryAt = time.Time{}, now.Add(unansweredAskPause)
	}
}

// askable reports whether an ask for permits may be sent now.
func (q *quota) askable(now time.Time) bool {
	return q.limited && q.askedAt.IsZero() && !now.Before(q.retryAt)
}

// SetRateLimit sets whether an endpoint limits the rate of its requests, and the permits per second that this instance can expect.
func (c *Core) SetRateLimit(address netip.AddrPort, limited bool, expected float64) {
	e := c.endpoints[address]
	if e == nil {
		return
	}
	if limited == e.quota.limited {
		e.quota.expected = expected
		return
	}
	e.quota = quota{limited: limited, expected: expected}
}

// PermitGrant is the answer to an ask for permits.
type PermitGrant struct {
	Endpoint netip.AddrPort
	Permits  []Permit  // in order of From
	Urgent   bool      // the permits are for runs in progress only
	RetryAt  time.Time // time before which another ask would be in vain
}

// Grant adds the permits of an answer.
func (c *Core) Grant(g PermitGrant) {
	e := c.endpoints[g.Endpoint]
	if e == nil || !e.quota.limited {
		return
	}
	q := &e.quota
	q.askedAt = time.Time{}
	if g.Urgent {
		q.urgent = append(q.urgent, g.Permits...)
		return
	}
	q.retryAt = g.RetryAt
	q.permits = append(q.permits, g.Permits...)
	slices.SortFunc(q.permits, func(a, b Permit) int { return a.From.Compare(b.From) })
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
		if r.onlyLimited(now) {
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

// anyLimited reports whether any endpoint of the pool limits the rate of its requests.
func (p *pool) anyLimited() bool {
	return slices.ContainsFunc(p.endpoints, func(e *endpointState) bool { return e.quota.limited })
}

// onlyLimited reports whether the request could start now but for permits: no endpoint may take it without one, and at least one may with
// one. Endpoints without free slots don't matter here.
func (r *Request) onlyLimited(now time.Time) bool {
	limited := false
	for _, e := range r.pool.endpoints {
		switch r.ineligibility(e, now) {
		case "":
			return false
		case VerdictRateLimited:
			limited = true
		}
	}
	return limited
}

// latestPermit returns the time until which the request waits for a permit: for half of the time to its first token, within bounds.
func (r *Request) latestPermit() time.Time {
	patience := maximumPermitPatience
	if !r.spec.FirstTokenDeadline.IsZero() {
		patience = min(max(r.spec.FirstTokenDeadline.Sub(r.submitted)/2, minimumPermitPatience), maximumPermitPatience)
	}
	latest := r.submitted.Add(patience)
	if !r.spec.Deadline.IsZero() && latest.After(r.spec.Deadline) {
		return r.spec.Deadline
	}
	return latest
}

// refuseRateLimited refuses the queued requests that only limited endpoints can take and that will get no permit in time.
func (c *Core) refuseRateLimited(now time.Time) {
	for _, p := range c.sortedPools {
		if c.queue.size == 0 || !p.anyLimited() {
			continue
		}
		ahead := make(map[*endpointState]int) // permits that earlier requests will use
		for _, r := range c.servingOrder(p, now) {
			if !r.onlyLimited(now) || r.mayGetPermit(ahead, now) {
				continue
			}
			retryAt := r.permitRetryAt(now)
			c.Withdraw(r, ReasonRateLimit, now)
			r.refusal.RetryAt = retryAt
			c.decidedRequests = append(c.decidedRequests, r)
		}
	}
}

// mayGetPermit reports whether the request may get a permit in time: one that will be valid by then, the answer to an ask, or another ask.
func (r *Request) mayGetPermit(ahead map[*endpointState]int, now time.Time) bool {
	latest := r.latestPermit()
	if now.After(latest) {
		return false
	}
	for _, e := range r.pool.endpoints {
		if r.ineligibility(e, now) != VerdictRateLimited {
			continue
		}
		if n := ahead[e]; n < len(e.quota.permits) && !e.quota.permits[n].From.After(latest) {
			ahead[e]++
			return true
		}
		if !e.quota.askedAt.IsZero() || !e.quota.retryAt.After(latest) {
			return true
		}
	}
	return false
}

// permitRetryAt returns the earliest time at which an ask for a permit may succeed.
func (r *Request) permitRetryAt(now time.Time) time.Time {
	var earliest time.Time
	for _, e := range r.pool.endpoints {
		if r.ineligibility(e, now) == VerdictRateLimited && (earliest.IsZero() || e.quota.retryAt.Before(earliest)) {
			earliest = e.quota.retryAt
		}
	}
	return earliest
}

// demandUrgentPermit notes that a run in progress needs a permit: of its preferred endpoint, or else of the least filled limited one. It
// reports whether there is such an endpoint.
func (c *Core) demandUrgentPermit(r *Request, now time.Time) bool {
	var best *endpointState
	for _, e := range r.pool.endpoints {
		if r.ineligibility(e, now) != VerdictRateLimited {
			continue
		}
		if e.address == r.spec.PreferredEndpoint {
			best = e
			break
		}
		if !r.spec.PreferredEndpoint.IsValid() && (best == nil || e.running() < best.running()) {
			best = e
		}
	}
	if best == nil {
		return false
	}
	best.quota.wanted = true
	c.wantPermits()
	return true
}

// wantPermits tells the instance that PermitAsks may have something to return.
func (c *Core) wantPermits() {
	if c.config.OnPermitsWanted != nil {
		c.config.OnPermitsWanted()
	}
}
