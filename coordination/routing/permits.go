package routing

import (
	"net/netip"
	"slices"
	"time"
)

// An endpoint may limit the rate of requests that it takes from all instances together. Each request to it then needs a permit, which the
// router takes at the start of the request. The permits come from outside: PermitAsks says how many are needed where, and Grant brings the
// answer. A request that only limited endpoints could take waits for a permit for a short time; if none comes in time, it is refused.

// Permit is the right to send one request to an endpoint within a span of time.
type Permit struct {
	From  time.Time
	Until time.Time
}

// valid reports whether the permit may be used now.
func (p Permit) valid(now time.Time) bool { return !now.Before(p.From) && now.Before(p.Until) }

// expired reports whether the permit may not be used any more.
func (p Permit) expired(now time.Time) bool { return !now.Before(p.Until) }

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

// anyLimited reports whether any endpoint of the pool limits the rate of its requests.
func (p *pool) anyLimited() bool {
	return slices.ContainsFunc(p.endpoints, func(e *endpointState) bool { return e.quota.limited })
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

// wantPermits notifies the instance that PermitAsks may have something to return.
func (c *Core) wantPermits() {
	if c.config.OnPermitsWanted != nil {
		c.config.OnPermitsWanted()
	}
}
