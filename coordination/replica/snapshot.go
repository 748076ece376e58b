package replica

import (
	"context"
	"slices"
	"time"

	"dogwooddyke/coordination/member"
	"dogwooddyke/state/catalogue"
)

// keepSnapshots appends a snapshot whenever none was seen for an interval; the first by rendezvous does so earliest.
func (r *Replica) keepSnapshots(ctx context.Context) {
	ticker := time.NewTicker(min(snapshotTick, r.interval/snapshotTicks))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.snapshotDue(time.Now()) {
			r.observer.SnapshotAppended(r.appendSnapshot(ctx))
		}
	}
}

// snapshotDue needs no agreement: a second snapshot only costs its bytes.
func (r *Replica) snapshotDue(now time.Time) bool {
	ranked := member.Subset("catalogue.snapshot", r.members.Live(), snapshotRanks)
	rank := slices.Index(ranked, r.members.Self())
	if rank < 0 || r.State() != StateFollowing || r.table.Offset() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshotSeenAt.IsZero() {
		r.snapshotSeenAt = now.Add(-r.interval)
	}
	wait := r.interval + time.Duration(rank)*r.interval/rankDelayParts
	if now.Sub(r.snapshotSeenAt) < wait || now.Before(r.snapshotTryAt) {
		return false
	}
	r.snapshotTryAt = now.Add(min(snapshotRetry, r.interval/snapshotTicks))
	return true
}

func (r *Replica) sawSnapshot(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.snapshotSeenAt) {
		r.snapshotSeenAt = at
	}
}

func (r *Replica) appendSnapshot(ctx context.Context) error {
	s, err := r.table.Snapshot()
	if err != nil {
		return err
	}
	data, err := catalogue.Encode(catalogue.Record{Snapshot: s})
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = r.log.Append(limited, catalogue.Stream, data)
	return err
}
