package claim

import (
	"context"
	"errors"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/state/record"
)

// errDeposed reports that another stewardship has begun.
var errDeposed = errors.New("another steward has the partition")

// errUncertain reports a claim that may or may not be in the log.
var errUncertain = errors.New("outcome of the claim unknown")

// work takes the partition over and writes its records until another steward does or the instance ends.
func (p *partition) work() {
	ctx := p.steward.ctx
	err := p.open(ctx)
	for err == nil {
		err = p.step(ctx)
	}
	p.close()
	if errors.Is(err, errDeposed) {
		p.steward.observer.Deposed(p.number)
	}
}

// step waits for something to write and writes one record.
func (p *partition) step(ctx context.Context) error {
	if err := p.awaitWork(ctx); err != nil {
		return err
	}
	began := time.Now()
	p.lock.Lock()
	b := p.draw()
	p.inFlight = b
	p.lock.Unlock()
	if len(b.claims) == 0 && len(b.settlements) == 0 {
		return nil
	}
	err := p.commit(ctx, b)
	if errors.Is(err, record.ErrUnavailable) {
		return p.postpone(ctx, b)
	}
	if err != nil && !errors.Is(err, errDeposed) {
		return err
	}
	// A record that came before another stewardship counts, so its claims are granted by a deposed steward too.
	p.lock.Lock()
	p.inFlight = nil
	p.table.expire(time.Now().UnixMilli())
	p.resolve(b, err != nil)
	p.lock.Unlock()
	if err != nil {
		return err
	}
	p.steward.observer.Committed(len(b.claims), len(b.settlements), time.Since(began))
	return wait.For(ctx, p.steward.settings.interval()-time.Since(began))
}

// awaitWork returns when something waits for a record; an idle steward that should not be one ends.
func (p *partition) awaitWork(ctx context.Context) error {
	idle := time.NewTicker(idleCheck)
	defer idle.Stop()
	for {
		p.lock.Lock()
		empty := p.queue.empty()
		p.lock.Unlock()
		if !empty {
			return nil
		}
		select {
		case <-p.wake:
		case <-idle.C:
			if err := p.lookRound(ctx); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// lookRound ends a stewardship that is another's by the view of stewards, or by the log where repeats wait for a result.
func (p *partition) lookRound(ctx context.Context) error {
	if !p.steward.mine(p.stream) {
		return errDeposed
	}
	p.lock.Lock()
	waited := p.waiters > 0
	p.lock.Unlock()
	if !waited {
		return nil
	}
	if err := p.readAll(ctx); err != nil {
		return err
	}
	if p.table.writer != p.writer {
		return errDeposed
	}
	return nil
}

// postpone keeps a batch that certainly is not in the log for the next try.
func (p *partition) postpone(ctx context.Context, b *batch) error {
	p.lock.Lock()
	p.putBack(b)
	p.inFlight = nil
	p.lock.Unlock()
	return wait.For(ctx, max(retryMinimum, p.steward.settings.interval()))
}

// open reads the partition's stream and begins a stewardship.
func (p *partition) open(ctx context.Context) error {
	began := time.Now()
	p.table = newTable(p.steward.settings.Window + 2*ClockMargin)
	p.floor = 0
	if err := p.readAll(ctx); err != nil {
		return err
	}
	if err := p.own(ctx); err != nil {
		return err
	}
	p.lock.Lock()
	p.table.expire(time.Now().UnixMilli())
	p.phase = phaseOpen
	early := p.early
	p.early = nil
	for _, a := range early {
		if !a.gone {
			p.consider(a)
		}
	}
	p.lock.Unlock()
	p.steward.observer.TakenOver(p.number, int(p.table.next-1), time.Since(began))
	return nil
}

// close ends the stewardship and sends all who wait to the next steward.
func (p *partition) close() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.phase = phaseClosed
	p.closed = time.Now()
	p.table = nil
	if p.inFlight != nil {
		p.closeInFlight(p.inFlight)
		p.inFlight = nil
	}
	for _, s := range p.queue.settlements {
		s.done <- false
	}
	for _, c := range p.queue.claims {
		if c.asker != nil {
			c.asker.answer <- answer{grant: Grant{State: StateMoved}}
		}
	}
	for _, a := range p.early {
		a.answer <- answer{grant: Grant{State: StateMoved}}
	}
	for key := range p.waiting {
		for _, a := range p.takeWaiting(key) {
			a.answer <- answer{grant: Grant{State: StateMoved}}
		}
	}
	p.early = nil
	p.queue = queue{}
	clear(p.taken)
}

// closeInFlight answers for a batch that may or may not be in the log. The lock is held.
func (p *partition) closeInFlight(b *batch) {
	for _, s := range b.settlements {
		s.done <- false
	}
	for _, c := range b.claims {
		if c.asker != nil {
			c.asker.answer <- answer{err: errUncertain}
		}
	}
}

// flush waits until nothing waits for a record, or the context ends.
func (p *partition) flush(ctx context.Context) {
	for {
		p.lock.Lock()
		done := p.phase != phaseOpen || (p.queue.empty() && p.inFlight == nil)
		p.lock.Unlock()
		if done || wait.For(ctx, flushPause) != nil {
			return
		}
	}
}
