package claim

import (
	"context"
	"time"
)

// awaitResult keeps a repeat until the first call's result comes. The lock is held.
func (p *partition) awaitResult(a *asking) {
	if p.waiters >= maximumWaiting {
		a.answer <- answer{grant: p.running(a.ask.Key)}
		return
	}
	p.waiting[a.ask.Key] = append(p.waiting[a.ask.Key], a)
	p.waiters++
}

// running is the answer to a repeat whose first call has no result yet. The lock is held.
func (p *partition) running(key Digest) Grant {
	g := Grant{State: StateRunning}
	if t := p.taken[key]; t != nil && t.claim != nil {
		g.Holder = t.claim.claim.Call
	} else if h := p.held(key); h != nil {
		g.Holder = h.call
	}
	return g
}

// stopWaiting removes a repeat; false means that it did not wait. The lock is held.
func (p *partition) stopWaiting(a *asking) bool {
	waiting := p.waiting[a.ask.Key]
	for i, other := range waiting {
		if other == a {
			p.setWaiting(a.ask.Key, append(waiting[:i], waiting[i+1:]...))
			p.waiters--
			return true
		}
	}
	return false
}

func (p *partition) setWaiting(key Digest, waiting []*asking) {
	if len(waiting) == 0 {
		delete(p.waiting, key)
		return
	}
	p.waiting[key] = waiting
}

// takeWaiting removes and returns all repeats of a key. The lock is held.
func (p *partition) takeWaiting(key Digest) []*asking {
	waiting := p.waiting[key]
	delete(p.waiting, key)
	p.waiters -= len(waiting)
	return waiting
}

// answerWaiting gives a result to all repeats of its key. The lock is held.
func (p *partition) answerWaiting(key Digest, data []byte) {
	for _, a := range p.takeWaiting(key) {
		a.answer <- answer{grant: Grant{State: StateSettled, Data: data}}
	}
}

// reconsiderWaiting asks again for all repeats of a key that has become free. The lock is held.
func (p *partition) reconsiderWaiting(key Digest) {
	for _, a := range p.takeWaiting(key) {
		p.consider(a)
	}
}

// complete reads a result from the log that is no longer in memory.
func (p *partition) complete(ctx context.Context, ask Ask, given answer) (Grant, error) {
	if given.offset == 0 {
		return given.grant, given.err
	}
	page, err := p.steward.log.Read(ctx, p.stream, given.offset, time.Time{})
	if err != nil || len(page.Records) == 0 || page.Records[0].Offset != given.offset {
		return Grant{State: StateRunning}, nil
	}
	e, err := decode(page.Records[0].Data)
	if err != nil {
		return Grant{State: StateRunning}, nil
	}
	for i := range e.Results {
		if e.Results[i].Key == ask.Key {
			return Grant{State: StateSettled, Data: e.Results[i].Data}, nil
		}
	}
	return Grant{State: StateRunning}, nil
}
