package replica

import (
	"context"
	"errors"
	"time"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/record"
)

// Reader brings a table to the log's head once; Replica keeps it there.
type Reader struct {
	Table *catalogue.Table
	Log   record.Log
}

// CatchUp reads to the log's head; the error wraps ErrNoSnapshot if records are lost.
func (r *Reader) CatchUp(ctx context.Context) error {
	if r.Table.Offset() == 0 {
		if _, err := r.recover(ctx); err != nil {
			return err
		}
	}
	for {
		from := r.Table.Offset() + 1
		page, err := r.read(ctx, from, time.Time{})
		if err != nil {
			return err
		}
		if page.First > from {
			if _, err := r.recover(ctx); err != nil {
				return err
			}
			continue
		}
		if _, err := r.Table.ApplyAll(page.Records); err != nil {
			return err
		}
		if atHead(page) {
			return nil
		}
	}
}

// atHead tells that the log had no more records when it gave the page: without this a reader would never catch up with
// records that are appended as fast as it reads.
func atHead(page record.Page) bool {
	size := 0
	for _, x := range page.Records {
		size += len(x.Data)
	}
	return len(page.Records) < fullPageRecords && size < fullPageBytes
}

// recover takes the snapshot in the log that covers most, unless the table is newer, and tells whether there is one.
func (r *Reader) recover(ctx context.Context) (bool, error) {
	scan, err := r.scan(ctx)
	if err != nil {
		return false, err
	}
	if scan.best != nil {
		if err := r.Table.Restore(scan.best); err != nil && !errors.Is(err, catalogue.ErrStaleSnapshot) {
			return true, err
		}
	}
	if r.Table.Offset()+1 < scan.first {
		return scan.best != nil, ErrNoSnapshot
	}
	return scan.best != nil, nil
}

// scanned is what one pass over the retained records found.
type scanned struct {
	first uint64 // oldest retained offset after the pass
	best  *catalogue.Snapshot
}

// scan reads all retained records and keeps the snapshot that covers most and passes the rules.
func (r *Reader) scan(ctx context.Context) (scanned, error) {
	found := scanned{}
	from := uint64(1)
	for {
		page, err := r.read(ctx, from, time.Time{})
		if err != nil {
			return scanned{}, err
		}
		found.first = page.First
		for _, x := range page.Records {
			found.best = r.better(found.best, x)
		}
		if atHead(page) {
			return found, nil
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
}

// better returns the snapshot that covers more: the best so far, or the record's if it is one that passes the rules.
func (r *Reader) better(best *catalogue.Snapshot, x record.Record) *catalogue.Snapshot {
	decoded, err := catalogue.Decode(x.Data)
	if err != nil || decoded.Snapshot == nil || decoded.Snapshot.Covers >= x.Offset {
		return best
	}
	if best != nil && best.Covers >= decoded.Snapshot.Covers {
		return best
	}
	if r.Table.Check(decoded.Snapshot) != nil {
		return best
	}
	return decoded.Snapshot
}

func (r *Reader) read(ctx context.Context, from uint64, until time.Time) (record.Page, error) {
	deadline := time.Now().Add(readTimeout)
	if until.After(time.Now()) {
		deadline = until.Add(readTimeout)
	}
	limited, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return r.Log.Read(limited, catalogue.Stream, from, until)
}
