package control

import (
	"context"
	"sync"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/record"
	"dogwooddyke/transport/platform"
)

// moment is the catalogue after one record of the log.
type moment struct {
	at        time.Time // of the append
	verdict   catalogue.Verdict
	revision  uint64
	digest    string
	revisions revisions
}

// history folds the log record by record: what every instance has to show at each offset.
type history struct {
	log   *platform.Log
	table *catalogue.Table // only follow uses it

	mutex   sync.Mutex
	moments []moment // of offsets from 1 on
	fault   error
}

func newHistory(s *site) *history {
	return &history{
		log:   platform.NewLog("http://"+s.Log.String(), platform.NewClient()),
		table: catalogue.NewTable(catalogue.Rules{}),
	}
}

// follow reads until the context ends.
func (h *history) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := h.read(ctx, time.Now().Add(followWait)); err != nil {
			_ = wait.For(ctx, pollPause)
		}
	}
}

// read takes one page and tells whether it had records.
func (h *history) read(ctx context.Context, until time.Time) (bool, error) {
	page, err := h.log.Read(ctx, catalogue.Stream, h.table.Offset()+1, until)
	if err != nil {
		return false, err
	}
	for _, r := range page.Records {
		if err := h.take(r); err != nil {
			return false, err
		}
	}
	return len(page.Records) > 0, nil
}

func (h *history) take(r record.Record) error {
	verdicts, err := h.table.ApplyAll([]record.Record{r})
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if err != nil {
		h.fault = err
		return err
	}
	if len(verdicts) == 0 {
		return nil
	}
	view := h.table.View()
	h.moments = append(h.moments, moment{
		at: r.Time, verdict: verdicts[0], revision: view.Revision, digest: view.Digest, revisions: revisionsOf(view),
	})
	return nil
}

// finish reads to the head after follow has ended.
func (h *history) finish(ctx context.Context) error {
	for {
		more, err := h.read(ctx, time.Time{})
		if err != nil || !more {
			return err
		}
	}
}

// at returns the catalogue after the record at the offset.
func (h *history) at(offset uint64) (*moment, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if offset == 0 || offset > uint64(len(h.moments)) {
		return nil, false
	}
	return &h.moments[offset-1], true
}

// head returns the offset of the last record read.
func (h *history) head() uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return uint64(len(h.moments))
}
