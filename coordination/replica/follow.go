package replica

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/record"
)

// follow starts, then reads on; after each failure it looks for another way to the head.
func (r *Replica) follow(ctx context.Context) {
	for ctx.Err() == nil {
		delay, err := r.step(ctx)
		if err != nil {
			r.fail(ctx, err)
			delay = wait.Jitter(retryInterval)
		}
		r.pause(ctx, delay)
	}
}

// step reads once and returns how long to wait before the next read.
func (r *Replica) step(ctx context.Context) (time.Duration, error) {
	if r.State() == StateStarting || r.State() == StateLost {
		if err := r.recover(ctx); err != nil {
			return 0, err
		}
	}
	if err := r.verify(ctx, time.Now()); err != nil {
		return 0, err
	}
	seed := r.seed()
	var until time.Time
	if seed && r.State() == StateFollowing {
		until = time.Now().Add(seedWait)
	}
	from := r.table.Offset() + 1
	page, err := r.read(ctx, from, until)
	if err != nil {
		return 0, err
	}
	if page.First > from {
		r.move(StateLost)
		return 0, r.recover(ctx)
	}
	if err := r.fold(page.Records); err != nil {
		return 0, err
	}
	if !atHead(page) {
		return 0, nil
	}
	r.syncedAt.Store(time.Now().UnixNano())
	r.move(StateFollowing)
	if seed {
		return 0, nil
	}
	return wait.Jitter(PollInterval), nil
}

// fail moves the state according to the error and, without anything to serve from, asks peers.
func (r *Replica) fail(ctx context.Context, err error) {
	state := r.State()
	switch {
	case ctx.Err() != nil:
		return
	case errors.Is(err, ErrRegressed):
		r.move(StateRegressed)
		return
	case errors.Is(err, ErrNoSnapshot):
		if state != StateStarting {
			r.move(StateLost)
		}
	case state == StateFollowing:
		r.move(StateOutage)
	}
	if r.Ready() && !r.behind(time.Now()) {
		return
	}
	if r.fetch(ctx) == nil {
		r.move(StateOutage)
	}
}

// behind tells, at most once in an interval, that peers are ahead while the log does not answer.
func (r *Replica) behind(now time.Time) bool {
	if r.State() != StateOutage || r.ahead.Load() <= r.table.Offset() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.fetchAt) {
		return false
	}
	r.fetchAt = now.Add(fetchInterval)
	return true
}

// verify checks after an outage, and now and then, that the log still holds the last record that was folded here; a
// replica that found otherwise goes on only once it does.
func (r *Replica) verify(ctx context.Context, now time.Time) error {
	if r.State() == StateFollowing && now.Before(r.verifyAt) {
		return nil
	}
	r.verifyAt = now.Add(verifyInterval)
	last, ok := r.recent.last()
	if !ok {
		return nil
	}
	page, err := r.read(ctx, last.Offset, time.Time{})
	switch {
	case err != nil:
		return err
	case page.First > last.Offset && r.State() != StateRegressed:
		return nil
	case len(page.Records) == 0 || page.Records[0].Offset != last.Offset || !bytes.Equal(page.Records[0].Data, last.Data):
		return ErrRegressed
	}
	return nil
}

// fold applies records that came from the log.
func (r *Replica) fold(rs []record.Record) error {
	if len(rs) == 0 {
		return nil
	}
	r.folding.Lock()
	defer r.folding.Unlock()
	verdicts, err := r.table.ApplyAll(rs)
	r.folded(rs, verdicts)
	return err
}

// folded tells of what the table took and lets it be pushed on.
func (r *Replica) folded(rs []record.Record, verdicts []catalogue.Verdict) {
	if len(verdicts) == 0 {
		return
	}
	for _, v := range verdicts {
		r.observer.Folded(v)
		if v.Outcome == catalogue.OutcomeSnapshot {
			r.sawSnapshot(time.Now())
		}
	}
	first := verdicts[0].Offset
	at := slices.IndexFunc(rs, func(x record.Record) bool { return x.Offset == first })
	r.recent.add(rs[at:at+len(verdicts)], verdicts)
	signal(r.pusher.wake)
}

func (r *Replica) read(ctx context.Context, from uint64, until time.Time) (record.Page, error) {
	page, err := r.reader.read(ctx, from, until)
	r.observer.LogRead(err)
	return page, err
}

// recover looks for the state in the log when the next record is not known to be there.
func (r *Replica) recover(ctx context.Context) error {
	found, err := r.reader.recover(ctx)
	if found {
		r.sawSnapshot(time.Now().Add(-r.interval / 2))
	}
	if err == nil && r.State() == StateLost {
		r.move(StateOutage)
	}
	return err
}

// seed tells whether this instance waits at the log's head.
func (r *Replica) seed() bool {
	_, position := r.place()
	return position < Seeds
}

func (r *Replica) pause(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.wake:
	}
}
