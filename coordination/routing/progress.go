package routing

import "time"

// RecordToken counts one output token of a running request.
func (c *Core) RecordToken(r *Request, now time.Time) {
	if r.countToken() {
		c.RecordProgress(r, now)
	}
}

// countToken counts an output token and reports whether RecordProgress is due: at the first token and every progressInterval.
func (r *Request) countToken() bool {
	n := r.emittedTokens.Add(1)
	return n == 1 || n%progressInterval == 0
}

// RecordProgress adds the tokens since the last call to the shared statistics: speed and prefill time of the endpoint, lengths of runs,
// and use of the workspace's limits.
func (c *Core) RecordProgress(r *Request, now time.Time) {
	emitted := int(r.emittedTokens.Load())
	newTokens := emitted - r.recordedTokens
	if r.phase != phaseRunning || newTokens <= 0 {
		return
	}
	e := r.endpoint
	interval := now.Sub(r.recordedAt) / time.Duration(newTokens)
	if r.recordedTokens == 0 {
		c.observePrefill(r, now.Sub(r.started))
	} else {
		e.speed.Observe(e.batch(now), interval)
	}
	if !e.plainService {
		r.lengthGroups.Emitted(r.recordedLength(), emitted)
	}
	r.recordedTokens, r.recordedAt = emitted, now
	for _, l := range r.limiters {
		l.Spent(newTokens, now)
	}
}

// recordedLength returns the number of tokens that the length statistics include, or -1 before the first.
func (r *Request) recordedLength() int {
	if r.recordedTokens == 0 {
		return -1
	}
	return r.recordedTokens
}

// Release ends a running request and replaces the expected tokens in its workspace's charge by those that it produced.
func (c *Core) Release(r *Request, outcome Outcome, now time.Time) {
	if r.phase != phaseRunning {
		return
	}
	c.RecordProgress(r, now)
	r.phase = phaseOver
	r.pool.running--
	r.pool.updateStartRate(now)
	c.releaseBackup(r)
	r.endpoint.removeRun(r)
	emitted := int(r.emittedTokens.Load())
	r.workspaceAccount.Served += float64(emitted-r.spec.GeneratedTokens) + promptTokenCharge*float64(r.promptTokens()) - r.chargedTokens
	c.servedTokens.End(r.workspaceAccount)
	for _, l := range r.limiters {
		l.Ended()
	}
	c.recordOutcome(r, outcome, emitted, now)
}

// recordOutcome updates the endpoint's health and the length statistics at the end of a run.
func (c *Core) recordOutcome(r *Request, outcome Outcome, emitted int, now time.Time) {
	h := &r.endpoint.health
	switch outcome {
	case OutcomeFinished:
		if !r.endpoint.plainService {
			r.lengthGroups.Ended(emitted)
		}
		h.Success()
	case OutcomeCancelled:
		h.Cancelled()
	case OutcomeUnreachable:
		c.ejectUnreachable(r.endpoint, now)
	case OutcomeFailed, OutcomeRefused:
		h.Failure(now)
		if h.Failing() && !h.Ejected() && r.pool.mayEject(now) {
			c.eject(r.endpoint, now)
		}
	}
}

func (c *Core) eject(e *endpointState, now time.Time) {
	e.health.Eject(now)
	if c.config.Observer != nil {
		c.config.Observer.Ejected(e.address, e.health.EjectedUntil)
	}
}
