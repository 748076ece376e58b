package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
)

// phase is where a stewardship stands.
type phase uint8

const (
	phaseClosed  phase = iota // no worker
	phaseOpening              // a worker takes the partition over
	phaseOpen                 // the table is current and this instance is the steward, as far as it knows
)

// partition is one range of keys, and the stewardship over it if this instance has it.
type partition struct {
	steward *Steward
	number  int
	stream  string
	wake    chan struct{} // tells the worker that something waits

	lock     sync.Mutex // guards what follows; neither the log nor peers are called while it is held
	phase    phase
	table    *table
	writer   uuid.UUID
	floor    int64 // milliseconds since the epoch; older records are gone from the log
	early    []*asking
	queue    queue
	inFlight *batch
	taken    map[Digest]*tentative // keys with changes that are not in the table yet
	waiting  map[Digest][]*asking  // repeats that wait for a result
	waiters  int                   // sum over waiting
	closed   time.Time             // end of the last stewardship
}

// asking is one question that waits for its answer.
type asking struct {
	ask    Ask
	answer chan answer // one place
	gone   bool        // nobody waits any more
}

// answer is a grant, a settled result that has to be read from the log, or an error after which the call is to be abandoned.
type answer struct {
	grant  Grant
	offset uint64 // of the result; zero if the grant is complete
	err    error
}

// tentative is the part of a key's state that is not in the table yet.
type tentative struct {
	freed uuid.UUID // abandoned call
	claim *claiming // may be nil
}

// claiming is a claim that waits for its record.
type claiming struct {
	claim claim
	asker *asking // nil when the call was given up
}

func newPartition(s *Steward, number int) *partition {
	return &partition{
		steward: s,
		number:  number,
		stream:  streamOf(number),
		wake:    make(chan struct{}, 1),
		taken:   make(map[Digest]*tentative),
		waiting: make(map[Digest][]*asking),
	}
}

// grant asks and waits for the answer.
func (p *partition) grant(ctx context.Context, ask Ask) (Grant, error) {
	a := &asking{ask: ask, answer: make(chan answer, 1)}
	p.lock.Lock()
	if !p.ensure() {
		p.lock.Unlock()
		return Grant{State: StateMoved}, nil
	}
	p.consider(a)
	p.lock.Unlock()
	select {
	case given := <-a.answer:
		return p.complete(ctx, ask, given)
	case <-ctx.Done():
		return p.giveUp(a, ctx.Err())
	}
}

// giveUp ends a wait; a repeat learns that the first call is still running.
func (p *partition) giveUp(a *asking, err error) (Grant, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	a.gone = true
	select {
	case given := <-a.answer: // it came at the same moment
		if given.offset == 0 {
			return given.grant, given.err
		}
		return Grant{State: StateRunning}, nil
	default:
	}
	if p.stopWaiting(a) {
		return p.running(a.ask.Key), nil
	}
	return Grant{}, err
}

// ensure starts a worker if there is none; false means that another instance is the steward. The lock is held.
func (p *partition) ensure() bool {
	if !p.steward.mine(p.stream) {
		return false
	}
	if p.phase != phaseClosed {
		return true
	}
	if time.Since(p.closed) < takeOverPause {
		return false
	}
	p.phase = phaseOpening
	p.steward.workers.Go(p.work)
	return true
}

// consider answers a question, or puts it where it waits. The lock is held.
func (p *partition) consider(a *asking) {
	if p.phase != phaseOpen {
		p.delay(a)
		return
	}
	if t := p.taken[a.ask.Key]; t != nil && t.claim != nil {
		p.considerClaiming(a, t.claim)
		return
	}
	if h := p.held(a.ask.Key); h != nil {
		p.considerHeld(a, h)
		return
	}
	p.claim(a)
}

// delay keeps a question until the partition is open. The lock is held.
func (p *partition) delay(a *asking) {
	if len(p.early) >= maximumPending {
		p.early = slices.DeleteFunc(p.early, func(a *asking) bool { return a.gone })
	}
	if len(p.early) >= maximumPending {
		a.answer <- answer{grant: Grant{State: StateFull}}
		return
	}
	p.early = append(p.early, a)
}

// held returns what the table has under a key, unless it is being freed. The lock is held.
func (p *partition) held(key Digest) *held {
	h := p.table.find(key, time.Now().UnixMilli())
	if h == nil {
		return nil
	}
	if t := p.taken[key]; t != nil && t.freed == h.call {
		return nil
	}
	return h
}

// considerClaiming answers a question about a key whose claim waits for its record. The lock is held.
func (p *partition) considerClaiming(a *asking, c *claiming) {
	if c.claim.Body != a.ask.Body {
		a.answer <- answer{grant: Grant{State: StateConflict}}
		return
	}
	p.awaitResult(a)
}

// considerHeld answers a question about a key that the log gives to a call. The lock is held.
func (p *partition) considerHeld(a *asking, h *held) {
	switch {
	case h.body != a.ask.Body:
		a.answer <- answer{grant: Grant{State: StateConflict}}
	case h.progress == progressSettled:
		a.answer <- settledAnswer(h)
	default:
		p.awaitResult(a)
	}
}

func settledAnswer(h *held) answer {
	if h.data == nil {
		return answer{grant: Grant{State: StateSettled}, offset: h.offset}
	}
	return answer{grant: Grant{State: StateSettled, Data: h.data}}
}

// claim puts a claim on a free key into the queue. The lock is held.
func (p *partition) claim(a *asking) {
	now := time.Now()
	switch {
	case p.outside(a.ask.Born, now):
		a.answer <- answer{grant: Grant{State: StateOutside}}
		return
	case len(p.table.claims) >= maximumClaims || len(p.queue.claims) >= maximumPending:
		a.answer <- answer{grant: Grant{State: StateFull}}
		return
	}
	c := &claiming{
		claim: claim{Key: a.ask.Key, Call: a.ask.Call, Body: a.ask.Body, At: now.UnixMilli()},
		asker: a,
	}
	p.tentative(a.ask.Key).claim = c
	p.queue.claims = append(p.queue.claims, c)
	p.rouse()
}

// outside reports whether a key may have been used before the oldest claim that is remembered, or was made in the future.
func (p *partition) outside(born, now time.Time) bool {
	if born.IsZero() {
		return false
	}
	if born.Before(now.Add(-p.steward.settings.Window)) || born.After(now.Add(ClockMargin)) {
		return true
	}
	return p.floor != 0 && born.Before(time.UnixMilli(p.floor).Add(ClockMargin))
}

func (p *partition) tentative(key Digest) *tentative {
	t := p.taken[key]
	if t == nil {
		t = &tentative{}
		p.taken[key] = t
	}
	return t
}

// rouse wakes the worker.
func (p *partition) rouse() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}
