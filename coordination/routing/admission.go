package routing

import (
	"slices"
	"time"

	"dogwooddyke/state/length"
)

// Submit queues a request or refuses it, which Request.Refusal reports. Admit starts queued requests.
func (c *Core) Submit(spec *RequestSpec, now time.Time) *Request {
	r := c.newRequest(spec, now)
	p := r.pool
	if p == nil {
		c.refuse(r, ReasonNoEndpoint, time.Time{}, now)
		return r
	}
	p.updateStartRate(now)
	if reason, retryAt := c.refusalReason(r, now); reason != "" {
		c.refuse(r, reason, retryAt, now)
		return r
	}
	r.workspaceAccount = c.servedTokens.Begin(spec.Workspace)
	r.limiters = c.limitersFor(spec)
	for _, l := range r.limiters {
		l.Submitted(now)
	}
	p.typicalMemory += (r.promptTokens() + int(r.decision.ExpectedTokens) - p.typicalMemory) / typicalMemorySamples
	c.queue.add(r)
	return r
}

func (r *Request) lengthKey() length.Key {
	return length.Key{Entry: r.spec.Entry, Class: r.spec.Class, Workspace: r.spec.Workspace}
}

// refusalReason returns why a new request must be refused and when it may be retried; the reason is empty if the request can be queued.
func (c *Core) refusalReason(r *Request, now time.Time) (Reason, time.Time) {
	if c.draining || !c.mayFinish(r, now, now) {
		return ReasonDraining, now.Add(minimumRetryDelay)
	}
	if !r.pool.hasEndpointFor(r) {
		return r.missingEndpoint(), now.Add(r.pool.retryDelay())
	}
	r.decision.Ahead = c.queue.countAhead(r, func(f *flow) bool { return !c.withinLimits(f.first(), now) })
	wait := c.expectedWait(r, now)
	r.decision.ExpectedStart = now.Add(wait)
	if !c.mayFinish(r, r.decision.ExpectedStart, now) {
		return ReasonDraining, now.Add(minimumRetryDelay)
	}
	if c.queue.size >= c.config.QueueBound || c.queue.workspaceCounts[r.spec.Workspace] >= c.config.WorkspaceBound {
		return ReasonQueueFull, now.Add(max(wait/2, minimumRetryDelay))
	}
	if limitDelay := c.limitWait(r, now); !r.spec.Deadline.IsZero() && now.Add(limitDelay).After(r.spec.Deadline) {
		return ReasonWorkspaceLimit, retryTime(limitDelay, r.spec.Deadline, now)
	}
	if !r.spec.Deadline.IsZero() && r.decision.ExpectedStart.After(r.spec.Deadline) {
		return ReasonDeadline, retryTime(wait, r.spec.Deadline, now)
	}
	return "", time.Time{}
}

// retryTime returns when the given wait is expected to have fallen to the time that the request can wait, but at least
// minimumRetryDelay from now.
func retryTime(wait time.Duration, deadline, now time.Time) time.Time {
	return now.Add(max(wait-deadline.Sub(now), minimumRetryDelay))
}

// refuse ends a request that has not started.
func (c *Core) refuse(r *Request, reason Reason, retryAt, now time.Time) {
	r.refusal = &RefusalError{Reason: reason, RetryAt: retryAt}
	r.phase = phaseOver
	r.decision.Reason, r.decision.Decided = string(reason), now
	if c.config.Observer != nil {
		c.config.Observer.Refused(r.spec.Entry, r.spec.Workspace, reason)
	}
}

// Withdraw removes a queued request and refuses it, for example when its caller has disconnected.
func (c *Core) Withdraw(r *Request, reason Reason, now time.Time) {
	if r.phase != phaseQueued || r.flow == nil {
		return
	}
	r.pool.updateStartRate(now)
	c.queue.remove(r)
	c.servedTokens.End(r.workspaceAccount)
	for _, l := range r.limiters {
		l.Dropped()
	}
	c.refuse(r, reason, retryTime(c.expectedWait(r, now), now, now), now)
}

// Admit starts or refuses as many queued requests as possible and returns these requests. The slice is valid until the next call.
func (c *Core) Admit(now time.Time) []*Request {
	c.decidedRequests = c.decidedRequests[:0]
	c.round++
	c.refuseUnfinishable(now)
	c.refuseLate(now)
	for c.queue.size > 0 {
		f := c.nextFlow(now)
		if f == nil {
			break
		}
		r := f.first()
		if c.refuseExpired(r, now) || c.tryStart(r, now) {
			c.decidedRequests = append(c.decidedRequests, r)
			continue
		}
		f.triedRound = c.round
		r.pool.recordMiss(r, c.round)
	}
	for _, p := range c.sortedPools {
		p.backlogged = p.missRound == c.round
	}
	c.refuseHeldBack(now)
	if c.queue.size > 0 && slices.ContainsFunc(c.sortedPools, (*pool).anyLimited) {
		c.wantPermits()
	}
	return c.decidedRequests
}

// refuseExpired refuses a queued request whose deadline has passed or that no endpoint can serve any more, and reports whether it did.
func (c *Core) refuseExpired(r *Request, now time.Time) bool {
	if c.pools[r.spec.Entry] != r.pool || !r.pool.hasEndpointFor(r) {
		c.Withdraw(r, r.missingEndpoint(), now)
		return true
	}
	if !r.spec.Deadline.IsZero() && now.After(r.spec.Deadline) {
		c.Withdraw(r, ReasonDeadline, now)
		return true
	}
	return false
}

// nextFlow returns the flow whose first request is to be tried next: the one with the lowest aged priority, then the one whose workspace
// has been served the fewest tokens. It returns nil if no flow is left in this round.
func (c *Core) nextFlow(now time.Time) *flow {
	var best *flow
	bestPriority := 0
	for _, f := range c.queue.flows {
		r := f.first()
		if f.triedRound == c.round || r.pool.fullRound == c.round || !c.withinLimits(r, now) {
			continue
		}
		priority := r.agedPriority(now)
		if best == nil || priority < bestPriority || priority == bestPriority && r.precedes(best.first()) {
			best, bestPriority = f, priority
		}
	}
	return best
}

// precedes reports whether the request's workspace has been served fewer tokens than the other's or, if equally many, whether the
// request was submitted earlier.
func (r *Request) precedes(other *Request) bool {
	if r.workspaceAccount.Served != other.workspaceAccount.Served {
		return r.workspaceAccount.Served < other.workspaceAccount.Served
	}
	return r.submitted.Before(other.submitted)
}

// tryStart starts a queued request if an endpoint has room for it, and reports whether it did.
func (c *Core) tryStart(r *Request, now time.Time) bool {
	e := c.chooseEndpoint(r, now)
	if e == nil {
		return false
	}
	c.queue.remove(r)
	c.start(r, e, now)
	return true
}

func (c *Core) start(r *Request, e *endpointState, now time.Time) {
	r.pool.updateStartRate(now)
	if r.pool.backlogged {
		r.pool.backlogStarts++
	}
	r.phase, r.endpoint = phaseRunning, e
	r.pool.running++
	r.started, r.recordedAt = now, now
	r.uncachedTokens = max(float64(r.promptTokens())-e.cache.Match(r.spec.Prefix)*blockTokens, 0)
	r.expectFirstToken(e, now)
	r.decision.Endpoint, r.decision.Decided, r.decision.Reason = e.address, now, "admitted"
	r.chargedTokens = r.expectedCharge()
	r.workspaceAccount.Served += r.chargedTokens
	for _, l := range r.limiters {
		l.Started(now)
	}
	e.quota.take(r, now)
	e.addRun(r)
	if r.pool.anyLimited() {
		r.pool.started = true
		c.wantPermits()
	}
	if c.config.Observer != nil {
		c.config.Observer.Admitted(r.spec.Entry, r.spec.Workspace, r.submitted, now)
	}
}
