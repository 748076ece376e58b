package routing

import "time"

// Token notes one more token of a running flight.
func (c *Core) Token(f *Flight, now time.Time) {
	if f.emit() {
		c.Progress(f, now)
	}
}

// emit counts a token and tells whether the shared tables should know.
func (f *Flight) emit() bool {
	n := f.emitted.Add(1)
	return n == 1 || n%flushTokens == 0
}

// Progress brings the shared tables up to a flight's latest token.
func (c *Core) Progress(f *Flight, now time.Time) {
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
		f.groups.Emitted(f.passed(), emitted)
	}
	f.counted, f.flushed = emitted, now
	for _, l := range f.limiters {
		l.Spent(fresh, now)
	}
}

// passed gives the tokens that the length statistics know, -1 before the first.
func (f *Flight) passed() int {
	if f.counted == 0 {
		return -1
	}
	return f.counted
}

// Release ends a running flight.
func (c *Core) Release(f *Flight, outcome Outcome, now time.Time) {
	if f.phase != phaseRunning {
		return
	}
	c.Progress(f, now)
	f.phase = phaseOver
	f.pool.count(now)
	c.unback(f)
	f.account.end(f)
	emitted := int(f.emitted.Load())
	f.service.Served += float64(emitted-f.ask.Made) + promptCharge*float64(f.prompt()) - f.charged
	c.service.End(f.service)
	for _, l := range f.limiters {
		l.Ended()
	}
	c.learn(f, outcome, emitted, now)
}

func (c *Core) learn(f *Flight, outcome Outcome, emitted int, now time.Time) {
	h := &f.account.health
	switch outcome {
	case OutcomeFinished:
		if !f.account.service {
			f.groups.Ended(emitted)
		}
		h.Success()
	case OutcomeCancelled:
		h.Cancelled()
	case OutcomeAbsent:
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
		c.config.Observer.Ejected(a.address, a.health.EjectedUntil)
	}
}
