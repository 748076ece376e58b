package control

import (
	"context"
	"fmt"
	"sort"
	"time"

	"dogwooddyke/instance"
	"dogwooddyke/state/catalogue"
)

// sample is a catalogue as an instance showed it first at a time.
type sample struct {
	at        time.Time
	offset    uint64
	revision  uint64
	digest    string
	revisions revisions
}

// watch is what was seen of one instance's catalogue; only its own goroutine writes it, others read after its end.
type watch struct {
	readyAt time.Time
	samples []sample
	faults  []string // of what must never happen
}

// run looks at the instance's catalogue every few milliseconds until the context ends.
func (w *watch) run(ctx context.Context, i *instance.Instance) {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	var last *catalogue.View
	for {
		view := i.View()
		now := time.Now()
		if view.Offset > 0 && view != last {
			last = view
			w.take(now, view)
		}
		if w.readyAt.IsZero() && i.Ready() {
			w.readyAt = now
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// take keeps what the view shows and compares it with what was shown before.
func (w *watch) take(now time.Time, view *catalogue.View) {
	next := sample{at: now, offset: view.Offset, revision: view.Revision, digest: view.Digest, revisions: revisionsOf(view)}
	if len(w.samples) > 0 {
		before := &w.samples[len(w.samples)-1]
		if next.offset < before.offset || next.revision < before.revision {
			w.fault("offset %d, revision %d after offset %d, revision %d", next.offset, next.revision, before.offset, before.revision)
		}
		for n, r := range next.revisions {
			if r != 0 && r < before.revisions[n] {
				w.fault("subject %d at revision %d after %d", n, r, before.revisions[n])
			}
		}
	}
	if len(w.samples) == maximumSamples {
		w.fault("more than %d samples", maximumSamples)
		return
	}
	w.samples = append(w.samples, next)
}

func (w *watch) fault(format string, values ...any) {
	if len(w.faults) < maximumFaults {
		w.faults = append(w.faults, fmt.Sprintf(format, values...))
	}
}

// forcedAt returns when the record at the offset was in force first.
func (w *watch) forcedAt(offset uint64) (time.Time, bool) {
	n := sort.Search(len(w.samples), func(n int) bool { return w.samples[n].offset >= offset })
	if n == len(w.samples) {
		return time.Time{}, false
	}
	return w.samples[n].at, true
}
