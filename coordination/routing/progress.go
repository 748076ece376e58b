package routing

import "time"

// RecordToken notes one more token of a running flight.
func (c *Core) RecordToken(f *Request, now time.Time) {
	if f.emit() {
		c.RecordProgress(f, now)
	}
}

// emit counts a token and tells whether the shared tables should know.
func (f *Request) emit() bool {
	n := f.emitted.Add(1)
	return n == 1 || n%flushTokens == 0
}

// RecordProgress brings the shared tables up to a flight's latest token.
func (c *Core) RecordProgress(f *Request, now time.Time) {
	emitted := int(f.emitted.Load())
	fresh := emitted - f.counted
	if f.phase != phaseRunning || fresh <= 0 {
		return
	}
	a := f.account
	interval := now.Sub(f.flushed) / time.Duration(fresh)
	if f.counted == 0 {
		a.observePrefill(f, now.Sub(f.started))
	} else {
		a.speed.Observe(a.batch(now), interval)
	}
	if !a.service {
		f.groups.Passed(f.passed(), emitted)
	}
	f.counted, f.flushed = emitted, now
	for _, l := range f.limiters {
		l.Spent(fresh, now)
	}
}

// passed gives the tokens that the length statistics know, -1 before the first.
func (f *Request) passed() int {
	if f.counted == 0 {
		return -1
	}
	return f.counted
}

// Release ends a running flight.
func (c *Core) Release(f *Request, outcome Outcome, now time.Time) {
	if f.phase != phaseRunning {
		return
	}
	c.RecordProgress(f, now)
	f.phase = phaseOver
	f.pool.count(now)
	c.unback(f)
	f.account.end(f)
	emitted := int(f.emitted.Load())
	f.service.Served += float64(emitted-f.ask.GeneratedTokens) + promptCharge*float64(f.prompt()) - f.charged
	c.service.Leave(f.service)
	for _, l := range f.limiters {
		l.Ended()
	}
	c.learn(f, outcome, emitted, now)
}

func (c *Core) learn(f *Request, outcome Outcome, emitted int, now time.Time) {
	h := &f.account.health
	switch outcome {
	case OutcomeFinished:
		if !f.account.service {
			f.groups.Ended(emitted)
		}
		h.Success()
	case OutcomeCancelled:
		h.Cancelled()
	case OutcomeUnreachable:
		c.absent(f.account, now)
	case OutcomeFailed, OutcomeRefused:
		h.Failure(now)
		if h.Failing() && !h.Ejected() && f.pool.mayEject(now) {
			c.eject(f.account, now)
		}
	}
}

func (c *Core) eject(a *account, now time.Time) {
	a.health.Eject(now)
	if c.config.Observer != nil {
		c.config.Observer.Ejected(a.address, a.health.Until)
	}
}
