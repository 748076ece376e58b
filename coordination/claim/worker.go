package claim

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"dogwooddyke/state/record"
)

// errDeposed reports that another stewardship has begun.
var errDeposed = errors.New("another steward has the partition")

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
	if err != nil {
		return err
	}
	p.lock.Lock()
	p.inFlight = nil
	p.table.expire(time.Now().UnixMilli())
	p.resolve(b)
	p.lock.Unlock()
	p.steward.observer.Committed(len(b.claims), len(b.settlements), time.Since(began))
	return pause(ctx, p.steward.settings.interval()-time.Since(began))
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
			if !p.steward.mine(p.stream) {
				return errDeposed
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// postpone keeps a batch that certainly is not in the log for the next try.
func (p *partition) postpone(ctx context.Context, b *batch) error {
	p.lock.Lock()
	p.putBack(b)
	p.inFlight = nil
	p.lock.Unlock()
	return pause(ctx, max(retryMinimum, p.steward.settings.interval()))
}

// commit writes one record and returns when the table has it; ErrUnavailable means that it certainly is not in the log.
func (p *partition) commit(ctx context.Context, b *batch) error {
	data, err := encode(p.entry(b))
	if err != nil {
		return err
	}
	wait := retryMinimum
	for certain := true; ; {
		offset, err := p.append(ctx, data)
		if certain && errors.Is(err, record.ErrUnavailable) {
			return err
		}
		if err != nil && !errors.Is(err, record.ErrUnavailable) {
			certain = false
		}
		if err == nil || !certain {
			written, err := p.readBack(ctx, offset, data)
			if written || errors.Is(err, errDeposed) {
				return err
			}
		}
		if err := pause(ctx, wait); err != nil {
			return err
		}
		wait = min(2*wait, retryMaximum)
	}
}

// entry gives the batch the form of a record; only the worker changes the writer and the sequence.
func (p *partition) entry(b *batch) *entry {
	e := &entry{
		Kind:     kindGroup,
		Writer:   p.writer,
		Sequence: p.table.sequence + 1,
		At:       time.Now().UnixMilli(),
	}
	for _, s := range b.settlements {
		if s.settlement.Abandoned {
			e.Abandoned = append(e.Abandoned, abandoned{Key: s.settlement.Key, Call: s.settlement.Call})
			continue
		}
		e.Results = append(e.Results, result{Key: s.settlement.Key, Call: s.settlement.Call, Data: s.settlement.Data})
	}
	for _, c := range b.claims {
		e.Claims = append(e.Claims, c.claim)
	}
	return e
}

func (p *partition) append(ctx context.Context, data []byte) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return p.steward.log.Append(bounded, p.stream, data)
}

// readBack brings the table up to the record that was appended, or to the log's end where the offset is not known, and
// reports whether the record is there and counts.
func (p *partition) readBack(ctx context.Context, offset uint64, data []byte) (bool, error) {
	sequence := p.table.sequence + 1
	if offset != 0 && offset == p.table.next {
		p.apply(record.Record{Offset: offset, Data: data})
	} else if err := p.catchUp(ctx, offset); err != nil {
		return false, err
	}
	if p.table.writer != p.writer {
		p.steward.observer.Voided(p.number)
		return false, errDeposed
	}
	return p.table.sequence == sequence, nil
}

// catchUp applies the log's records up to the offset, or to the log's end if it is zero.
func (p *partition) catchUp(ctx context.Context, offset uint64) error {
	for offset == 0 || p.table.next <= offset {
		bounded, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := p.steward.log.Read(bounded, p.stream, p.table.next, time.Time{})
		cancel()
		if err != nil {
			return err
		}
		p.applyPage(page)
		if len(page.Records) == 0 {
			return nil
		}
	}
	return nil
}

// applyPage applies records; where older ones are gone from the log, keys from before them can't be judged.
func (p *partition) applyPage(page record.Page) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if page.First > p.table.next {
		p.floor = oldest(page)
	}
	for _, r := range page.Records {
		p.table.apply(r)
	}
	p.table.next = max(p.table.next, page.Next)
}

// oldest returns when the first record of a page was written, or now for an empty one.
func oldest(page record.Page) int64 {
	for _, r := range page.Records {
		if e, err := decode(r.Data); err == nil {
			return e.At
		}
	}
	return time.Now().UnixMilli()
}

func (p *partition) apply(r record.Record) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.table.apply(r)
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

// readAll reads to the log's end, as long as it takes.
func (p *partition) readAll(ctx context.Context) error {
	wait := retryMinimum
	for {
		err := p.catchUp(ctx, 0)
		if err == nil {
			return nil
		}
		if err := pause(ctx, wait); err != nil {
			return err
		}
		wait = min(2*wait, retryMaximum)
	}
}

// own appends the record that begins a stewardship, and reads through it.
func (p *partition) own(ctx context.Context) error {
	p.writer = uuid.New()
	previous := p.table.writer
	data, err := encode(&entry{Kind: kindOwn, Writer: p.writer, Previous: previous, At: time.Now().UnixMilli()})
	if err != nil {
		return err
	}
	wait := retryMinimum
	for {
		if _, err := p.append(ctx, data); !errors.Is(err, record.ErrUnavailable) {
			if err := p.readAll(ctx); err != nil {
				return err
			}
		}
		if p.table.owned && p.table.writer == p.writer {
			return nil
		}
		if p.table.owned && p.table.writer != previous {
			return errDeposed
		}
		if err := pause(ctx, wait); err != nil {
			return err
		}
		wait = min(2*wait, retryMaximum)
	}
}

// close ends the stewardship and sends all who wait to the next steward.
func (p *partition) close() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.phase = phaseClosed
	p.ended = time.Now()
	p.table = nil
	if p.inFlight != nil {
		p.putBack(p.inFlight)
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

// flush waits until nothing waits for a record, or the context ends.
func (p *partition) flush(ctx context.Context) {
	for {
		p.lock.Lock()
		done := p.phase != phaseOpen || (p.queue.empty() && p.inFlight == nil)
		p.lock.Unlock()
		if done || pause(ctx, flushPause) != nil {
			return
		}
	}
}

// pause waits for the duration or until the context ends.
func pause(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
