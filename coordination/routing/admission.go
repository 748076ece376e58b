package routing

import (
	"time"

	"dogwooddyke/state/length"
)

// Submit queues a request, or refuses it; the flight's Refusal tells. Admit decides when it starts.
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
	r.workspaceAccount = c.servedTokens.Enter(spec.Workspace)
	r.limiters = c.limitersFor(spec)
	for _, l := range r.limiters {
		l.Asked(now)
	}
	p.typicalMemory += (r.promptTokens() + int(r.decision.ExpectedTokens) - p.typicalMemory) / typicalMemoryWeight
	c.queue.add(r)
	return r
}

func (r *Request) lengthKey() length.Key {
	return length.Key{Entry: r.spec.Entry, Class: r.spec.Class, Workspace: r.spec.Workspace}
}

// judge decides whether a new request is worth queueing.
func (c *Core) refusalReason(r *Request, now time.Time) (Reason, time.Time) {
	if c.draining {
		return ReasonDraining, now.Add(minimumRetryDelay)
	}
	if !r.pool.hasEndpointFor(r) {
		return ReasonNoEndpoint, now.Add(r.pool.retryDelay())
	}
	r.decision.Ahead = c.queue.countAhead(r, func(f *flow) bool { return !c.withinLimits(f.first(), now) })
	wait := c.expectedWait(r, now)
	r.decision.ExpectedStart = now.Add(wait)
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

// retryAfter gives the time at which the wait will have shrunk to what the request could bear.
func retryTime(wait time.Duration, deadline, now time.Time) time.Time {
	return now.Add(max(wait-deadline.Sub(now), minimumRetryDelay))
}

// refuse ends a flight that did not start.
func (c *Core) refuse(r *Request, reason Reason, retryAt, now time.Time) {
	r.refusal = &RefusalError{Reason: reason, RetryAt: retryAt}
	r.phase = phaseOver
	r.decision.Reason, r.decision.Decided = string(reason), now
	if c.config.Observer != nil {
		c.config.Observer.Refused(r.spec.Entry, r.spec.Workspace, reason)
	}
}

// Withdraw takes a queued request out, as when its caller left.
func (c *Core) Withdraw(r *Request, reason Reason, now time.Time) {
	if r.phase != phaseQueued || r.flow == nil {
		return
	}
	r.pool.updateStartRate(now)
	c.queue.remove(r)
	c.servedTokens.Leave(r.workspaceAccount)
	for _, l := range r.limiters {
		l.Dropped()
	}
	c.refuse(r, reason, retryTime(c.expectedWait(r, now), now, now), now)
}

// Admit starts or refuses as many queued requests as it can and returns those decided; the slice is valid until the next call.
func (c *Core) Admit(now time.Time) []*Request {
	c.decidedRequests = c.decidedRequests[:0]
	c.round++
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
		r.pool.recordMiss(c.round)
	}
	for _, p := range c.sortedPools {
		p.backlogged = p.missRound == c.round
	}
	return c.decidedRequests
}

// expired refuses a queued request that can't start any more.
func (c *Core) refuseExpired(r *Request, now time.Time) bool {
	if c.pools[r.spec.Entry] != r.pool || !r.pool.hasEndpointFor(r) {
		c.Withdraw(r, ReasonNoEndpoint, now)
		return true
	}
	if !r.spec.Deadline.IsZero() && now.After(r.spec.Deadline) {
		c.Withdraw(r, ReasonDeadline, now)
		return true
	}
	return false
}

// pick gives the line whose head goes next: by priority after ageing, then by tokens served to the workspace.
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

// behind tells whether the flight's workspace was served less than the other's, or as much when the flight came first.
func (r *Request) precedes(other *Request) bool {
	if r.workspaceAccount.Served != other.workspaceAccount.Served {
		return r.workspaceAccount.Served < other.workspaceAccount.Served
	}
	return r.submitted.Before(other.submitted)
}

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
	r.started, r.recordedAt = now, now
	r.uncachedTokens = max(float64(r.promptTokens())-e.cache.Match(r.spec.Prefix)*blockTokens, 0)
	r.decision.Endpoint, r.decision.Decided, r.decision.Reason = e.address, now, "admitted"
	r.chargedTokens = r.expectedCharge()
	r.workspaceAccount.Served += r.chargedTokens
	for _, l := range r.limiters {
		l.Started(now)
	}
	e.addRun(r)
	if c.config.Observer != nil {
		c.config.Observer.Admitted(r.spec.Entry, r.spec.Workspace, r.submitted, now)
	}
}
