package replica

import (
	"context"
	"errors"
	"time"

	"dogwooddyke/state/catalogue"
)

// recover takes the snapshot in the log that covers most, unless the log still holds the next record.
func (r *Replica) recover(ctx context.Context) error {
	scan, err := r.scan(ctx)
	if err != nil {
		return err
	}
	if scan.best != nil {
		r.sawSnapshot(time.Now().Add(-r.interval / 2))
	}
	if scan.best != nil && scan.best.Covers > r.table.Offset() {
		if err := r.table.Restore(scan.best); err != nil && !errors.Is(err, catalogue.ErrOlder) {
			return err
		}
	}
	if r.table.Offset()+1 < scan.first {
		return ErrNoSnapshot
	}
	if r.State() == StateLost {
		r.move(StateOutage)
	}
	return nil
}

// scanned is what one pass over the retained records found.
type scanned struct {
	first uint64 // oldest retained offset after the pass
	best  *catalogue.Snapshot
}

// scan reads all retained records and keeps the snapshot that covers most and passes the rules.
func (r *Replica) scan(ctx context.Context) (scanned, error) {
	found := scanned{}
	from := uint64(1)
	for {
		page, err := r.read(ctx, from, time.Time{})
		if err != nil {
			return scanned{}, err
		}
		found.first = page.First
		for _, x := range page.Records {
			record, err := catalogue.Decode(x.Data)
			if err != nil || record.Snapshot == nil || record.Snapshot.Covers >= x.Offset {
				continue
			}
			if found.best != nil && found.best.Covers >= record.Snapshot.Covers {
				continue
			}
			if r.table.Check(record.Snapshot) == nil {
				found.best = record.Snapshot
			}
		}
		switch {
		case len(page.Records) > 0:
			from = page.Records[len(page.Records)-1].Offset + 1
		case page.First > from:
			from = page.First
		default:
			return found, nil
		}
	}
}
