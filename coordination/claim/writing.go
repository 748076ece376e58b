package claim

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"dogwooddyke/internal/wait"
	"dogwooddyke/state/record"
)

// commit writes a batch as one record and returns when the table has it; ErrUnavailable means that it certainly is not in
// the log.
func (p *partition) commit(ctx context.Context, b *batch) error {
	data, err := encode(p.entry(b))
	if err != nil {
		return err
	}
	sequence := p.table.sequence + 1
	if err := p.write(ctx, data, func() bool { return p.table.sequence >= sequence }); err != nil {
		return err
	}
	if p.table.writer != p.writer {
		p.steward.observer.Voided(p.number)
		return errDeposed
	}
	return nil
}

// own begins a stewardship and reads through its record; it is void if another one has begun before it in the log.
func (p *partition) own(ctx context.Context) error {
	p.writer = uuid.New()
	previous := p.table.writer
	data, err := encode(&entry{Kind: kindOwn, Writer: p.writer, Previous: previous, At: time.Now().UnixMilli()})
	if err != nil {
		return err
	}
	delay := retryMinimum
	for {
		err := p.write(ctx, data, func() bool { return p.table.writer == p.writer })
		if err == nil && p.table.writer != p.writer {
			return errDeposed
		}
		if !errors.Is(err, record.ErrUnavailable) {
			return err
		}
		if err := wait.For(ctx, delay); err != nil {
			return err
		}
		delay = min(2*delay, retryMaximum)
	}
}

// write appends a record and reads through it. One whose acknowledgement was lost is looked for; where it can't be found it
// is appended again, for a second copy has no effect. ErrUnavailable means that no copy can be in the log.
func (p *partition) write(ctx context.Context, data []byte, there func() bool) error {
	before := p.table.writer
	delay := retryMinimum
	for certain := true; ; {
		offset, err := p.append(ctx, data)
		if err == nil {
			return p.readThrough(ctx, offset, data)
		}
		if certain && errors.Is(err, record.ErrUnavailable) {
			return err
		}
		certain = false
		if err := p.readAll(ctx); err != nil {
			return err
		}
		if there() || p.table.writer != before {
			return nil
		}
		if err := wait.For(ctx, delay); err != nil {
			return err
		}
		delay = min(2*delay, retryMaximum)
	}
}

// entry gives the batch the form of a record.
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

// readThrough brings the table up to a record that is in the log, as long as it takes; nothing has to be read if no other
// record came between.
func (p *partition) readThrough(ctx context.Context, offset uint64, data []byte) error {
	if offset == p.table.next {
		p.applyPage(record.Page{Records: []record.Record{{Offset: offset, Data: data}}})
		return nil
	}
	delay := retryMinimum
	for p.table.next <= offset {
		if err := p.readAll(ctx); err != nil {
			return err
		}
		if p.table.next > offset {
			return nil
		}
		if err := wait.For(ctx, delay); err != nil {
			return err
		}
		delay = min(2*delay, retryMaximum)
	}
	return nil
}

// readAll reads to the log's end, as long as it takes.
func (p *partition) readAll(ctx context.Context) error {
	delay := retryMinimum
	for {
		count, err := p.readPage(ctx)
		if err == nil && count == 0 {
			return nil
		}
		if err == nil {
			continue
		}
		if err := wait.For(ctx, delay); err != nil {
			return err
		}
		delay = min(2*delay, retryMaximum)
	}
}

// readPage applies the next records and returns their number.
func (p *partition) readPage(ctx context.Context) (int, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := p.steward.log.Read(bounded, p.stream, p.table.next, time.Time{})
	if err != nil {
		return 0, err
	}
	return p.applyPage(page), nil
}

// applyPage applies the records that follow without a gap. Where older ones are gone from the log, keys from before the
// oldest one left can't be judged.
func (p *partition) applyPage(page record.Page) int {
	p.lock.Lock()
	defer p.lock.Unlock()
	if page.First > p.table.next {
		p.floor = oldest(page)
		p.table.next = page.First
	}
	count := 0
	for _, r := range page.Records {
		if r.Offset == p.table.next {
			p.table.apply(r)
			count++
		}
	}
	return count
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
