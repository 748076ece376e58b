package logtest

import (
	"context"
	"sync"
	"time"

	"dogwooddyke/state/record"
)

// Link is one instance's way to a log, which can be cut and can lose appends and acknowledgements.
type Link struct {
	Log record.Log

	mu      sync.Mutex // guards all below
	cut     bool
	lost    int
	dropped int
	before  func()
}

// Cut makes the log unavailable to this link, or available again.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

// LoseAcknowledgements lets the next appends take effect with an unknown outcome.
func (l *Link) LoseAcknowledgements(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = count
}

// DropAppends lets the next appends have no effect and an unknown outcome.
func (l *Link) DropAppends(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped = count
}

// BeforeAppend runs the function once, before the next append.
func (l *Link) BeforeAppend(run func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.before = run
}

// Append passes the record on, unless a fault was asked for.
func (l *Link) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	l.mu.Lock()
	cut, lost, dropped, before := l.cut, l.lost > 0, l.dropped > 0, l.before
	l.before = nil
	switch {
	case cut:
	case dropped:
		l.dropped--
	case lost:
		l.lost--
	}
	l.mu.Unlock()
	if before != nil {
		before()
	}
	switch {
	case cut:
		return 0, record.ErrUnavailable
	case dropped:
		return 0, record.ErrOutcomeUnknown
	}
	offset, err := l.Log.Append(ctx, stream, data)
	if err == nil && lost {
		return 0, record.ErrOutcomeUnknown
	}
	return offset, err
}

// Read passes the question on, unless the link is cut.
func (l *Link) Read(ctx context.Context, stream string, from uint64, deadline time.Time) (record.Page, error) {
	if l.isCut() {
		return record.Page{}, record.ErrUnavailable
	}
	page, err := l.Log.Read(ctx, stream, from, deadline)
	if l.isCut() {
		return record.Page{}, record.ErrUnavailable
	}
	return page, err
}

func (l *Link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}
