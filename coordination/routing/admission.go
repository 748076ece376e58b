package routing

import (
	"time"

	"dogwooddyke/state/length"
)

// Submit queues a request, or refuses it; the flight's Refusal tells. Admit decides when it starts.
func (c *Core) Submit(ask *Ask, now time.Time) *Flight {
	f := c.newFlight(ask, now)
	p := f.pool
	if p == nil {
		c.refuse(f, ReasonNoEndpoint, time.Time{}, now)
		return f
	}
	p.count(now)
	if reason, retry := c.judge(f, now); reason != "" {
		c.refuse(f, reason, retry, now)
		return f
	}
	f.service = c.service.Begin(ask.Workspace)
	f.limiters = c.limitersOf(ask)
	for _, l := range f.limiters {
		l.Submitted(now)
	}
	p.need += (f.prompt() + int(f.decision.Length) - p.need) / needWeight
	c.queue.push(f)
	return f
}

func (f *Flight) lengthKey() length.Key {
	return length.Key{Entry: f.ask.Entry, Class: f.ask.Class, Workspace: f.ask.Workspace}
}

// judge decides whether a new request is worth queueing.
func (c *Core) judge(f *Flight, now time.Time) (Reason, time.Time) {
	if c.draining {
		return ReasonDraining, now.Add(minimumRetry)
	}
	if !f.pool.usable(f) {
		return ReasonNoEndpoint, now.Add(f.pool.returnAfter())
	}
	f.decision.Ahead = c.queue.ahead(f, func(l *line) bool { return !c.allowed(l.head(), now) })
	wait := c.expectedWait(f, now)
	f.decision.Expected = now.Add(wait)
	if c.queue.size >= c.config.QueueBound || c.queue.counts[f.ask.Workspace] >= c.config.WorkspaceBound {
		return ReasonQueueFull, now.Add(max(wait/2, minimumRetry))
	}
	if held := c.limitWait(f, now); !f.ask.Deadline.IsZero() && now.Add(held).After(f.ask.Deadline) {
		return ReasonWorkspaceLimit, retryAfter(held, f.ask.Deadline, now)
	}
	if !f.ask.Deadline.IsZero() && f.decision.Expected.After(f.ask.Deadline) {
		return ReasonDeadline, retryAfter(wait, f.ask.Deadline, now)
	}
	return "", time.Time{}
}

// retryAfter gives the time at which the wait will have shrunk to what the request could bear.
func retryAfter(wait time.Duration, deadline, now time.Time) time.Time {
	return now.Add(max(wait-deadline.Sub(now), minimumRetry))
}

// refuse ends a flight that did not start.
func (c *Core) refuse(f *Flight, reason Reason, retry, now time.Time) {
	f.refusal = &RefusalError{Reason: reason, RetryAt: retry}
	f.phase = phaseOver
	f.decision.Reason, f.decision.Decided = string(reason), now
	if c.config.Observer != nil {
		c.config.Observer.Refused(f.ask.Entry, f.ask.Workspace, reason)
	}
}

// Withdraw takes a queued request out, as when its caller left.
func (c *Core) Withdraw(f *Flight, reason Reason, now time.Time) {
	if f.phase != phaseQueued || f.line == nil {
		return
	}
	f.pool.count(now)
	c.queue.remove(f)
	c.service.End(f.service)
	for _, l := range f.limiters {
		l.Dropped()
	}
	c.refuse(f, reason, retryAfter(c.expectedWait(f, now), now, now), now)
}

// Admit starts or refuses as many queued requests as it can and returns those decided; the slice is valid until the next call.
func (c *Core) Admit(now time.Time) []*Flight {
	c.decided = c.decided[:0]
	c.round++
	c.giveUp(now)
	for c.queue.size > 0 {
		l := c.pick(now)
		if l == nil {
			break
		}
		f := l.head()
		if c.expired(f, now) || c.tryStart(f, now) {
			c.decided = append(c.decided, f)
			continue
		}
		l.tried = c.round
		f.pool.missed(c.round)
	}
	for _, p := range c.entries {
		p.backlog = p.tried == c.round
	}
	return c.decided
}

// expired refuses a queued request that can't start any more.
func (c *Core) expired(f *Flight, now time.Time) bool {
	if c.pools[f.ask.Entry] != f.pool || !f.pool.usable(f) {
		c.Withdraw(f, ReasonNoEndpoint, now)
		return true
	}
	if !f.ask.Deadline.IsZero() && now.After(f.ask.Deadline) {
		c.Withdraw(f, ReasonDeadline, now)
		return true
	}
	return false
}

// pick gives the line whose head goes next: by priority after ageing, then by tokens served to the workspace.
func (c *Core) pick(now time.Time) *line {
	var best *line
	urgency := 0
	for _, l := range c.queue.lines {
		f := l.head()
		if l.tried == c.round || f.pool.full == c.round || !c.allowed(f, now) {
			continue
		}
		u := f.urgency(now)
		if best == nil || u < urgency || u == urgency && f.behind(best.head()) {
			best, urgency = l, u
		}
	}
	return best
}

// behind tells whether the flight's workspace was served less than the other's, or as much when the flight came first.
func (f *Flight) behind(other *Flight) bool {
	if f.service.Served != other.service.Served {
		return f.service.Served < other.service.Served
	}
	return f.submitted.Before(other.submitted)
}

func (c *Core) tryStart(f *Flight, now time.Time) bool {
	a := c.choose(f, now)
	if a == nil {
		return false
	}
	c.queue.remove(f)
	c.start(f, a, now)
	return true
}

func (c *Core) start(f *Flight, a *account, now time.Time) {
	f.pool.count(now)
	if f.pool.backlog {
		f.pool.starts++
	}
	f.phase, f.account = phaseRunning, a
	f.started, f.flushed = now, now
	f.uncached = max(float64(f.prompt())-a.cache.Match(f.ask.Prefix)*blockTokens, 0)
	f.decision.Endpoint, f.decision.Decided, f.decision.Reason = a.address, now, "admitted"
	f.charged = f.charge()
	f.service.Served += f.charged
	for _, l := range f.limiters {
		l.Started(now)
	}
	a.start(f)
	if c.config.Observer != nil {
		c.config.Observer.Admitted(f.ask.Entry, f.ask.Workspace, f.submitted, now)
	}
}
