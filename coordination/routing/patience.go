package routing

import (
	"slices"
	"time"
)

// isHeldBack reports whether the request could start now but for permits and rests: no endpoint may take it now, and at least one may with a
// permit or after its rest. Endpoints without free slots don't matter here.
func (r *Request) isHeldBack(now time.Time) bool {
	held := false
	for _, e := range r.pool.endpoints {
		switch r.ineligibility(e, now) {
		case "":
			return false
		case VerdictRateLimited, VerdictResting:
			held = true
		}
	}
	return held
}

// holdsBack reports whether any endpoint of the pool rests or limits the rate of its requests.
func (p *pool) holdsBack(now time.Time) bool {
	return p.anyLimited() || slices.ContainsFunc(p.endpoints, func(e *endpointState) bool { return now.Before(e.restsUntil) })
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

// refuseHeldBack refuses the queued requests that only limited and resting endpoints can take, and that none of these will take in time.
func (c *Core) refuseHeldBack(now time.Time) {
	for _, p := range c.sortedPools {
		if c.queue.size == 0 || !p.holdsBack(now) {
			continue
		}
		ahead := make(map[*endpointState]int) // permits that earlier requests will use
		for _, r := range c.servingOrder(p, now) {
			if !r.isHeldBack(now) || r.mayStartInTime(ahead, now) {
				continue
			}
			reason, retryAt := r.heldBackUntil(now)
			c.Withdraw(r, reason, now)
			r.refusal.RetryAt = retryAt
			c.decidedRequests = append(c.decidedRequests, r)
		}
	}
}

// mayStartInTime reports whether an endpoint may take the request in time: after its rest, or with a permit.
func (r *Request) mayStartInTime(ahead map[*endpointState]int, now time.Time) bool {
	for _, e := range r.pool.endpoints {
		switch r.ineligibility(e, now) {
		case VerdictResting:
			if !e.restsUntil.After(r.latestRest()) {
				return true
			}
		case VerdictRateLimited:
			if r.mayGetPermit(e, ahead, now) {
				return true
			}
		}
	}
	return false
}

// latestRest returns the time until which the request waits for the end of a rest. That time is certain, unlike the one of a permit, and all that
// wait may start then; so the request waits as long as its answer is of use.
func (r *Request) latestRest() time.Time {
	if r.spec.Deadline.IsZero() {
		return r.latestPermit()
	}
	return r.spec.Deadline
}

// mayGetPermit reports whether the request may get a permit of the endpoint in time: one that will be valid by then, the answer to an ask, or
// another ask.
func (r *Request) mayGetPermit(e *endpointState, ahead map[*endpointState]int, now time.Time) bool {
	latest := r.latestPermit()
	if now.After(latest) {
		return false
	}
	if n := ahead[e]; n < len(e.quota.permits) && !e.quota.permits[n].From.After(latest) {
		ahead[e]++
		return true
	}
	return !e.quota.askedAt.IsZero() || !e.quota.retryAt.After(latest)
}

// heldBackUntil returns the earliest time at which a rest ends or an ask for a permit may succeed, and which of the two it is.
func (r *Request) heldBackUntil(now time.Time) (Reason, time.Time) {
	var reason Reason
	var earliest time.Time
	for _, e := range r.pool.endpoints {
		at, why := e.quota.retryAt, ReasonRateLimit
		switch r.ineligibility(e, now) {
		case VerdictRateLimited:
		case VerdictResting:
			at, why = e.restsUntil, ReasonResting
		default:
			continue
		}
		if reason == "" || at.Before(earliest) {
			reason, earliest = why, at
		}
	}
	return reason, earliest
}
