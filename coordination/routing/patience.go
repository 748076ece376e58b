package routing

import "time"

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
