package lines

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

const (
	queueCapacity   = 2048 // lines that may be queued
	reserveCapacity = 4096 // lines that may be queued besides once the process stops: several for each request in progress
)

// Writer queues lines for a slower writer, and drops and counts those that do not fit into the queue. It is safe for concurrent use.
type Writer struct {
	queue   chan []byte
	dropped atomic.Int64
	group   conc.WaitGroup
	done    chan struct{} // closed when nothing more is written
	mutex   sync.Mutex    // guards the fields below, and the sending side of queue
	limit   int           // lines that may be queued now
	closed  bool
}

// New returns a writer that writes to out in the background.
func New(out io.Writer) *Writer {
	w := &Writer{queue: make(chan []byte, queueCapacity+reserveCapacity), done: make(chan struct{}), limit: queueCapacity}
	w.group.Go(func() {
		defer close(w.done)
		w.writeQueued(out)
	})
	return w
}

// Write queues one line; it never blocks and never fails, and it discards the line if the writer is closed.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case w.closed:
	case len(w.queue) >= w.limit:
		w.dropped.Add(1)
	default:
		w.queue <- append([]byte(nil), line...) // has room, since only Write sends
	}
	return len(line), nil
}

// Extend lets more lines be queued from now on: those of the end of a stop must not be dropped for ordinary ones that a slow reader left.
func (w *Writer) Extend() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.limit = cap(w.queue)
}

// Dropped returns the number of dropped lines plus the number of failed writes.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close returns once all queued lines are written. It returns the context's error if that ends first, as it does when the lines are not read.
func (w *Writer) Close(ctx context.Context) error {
	w.mutex.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mutex.Unlock()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeQueued writes queued lines until the queue is closed, several in one write if several are queued, and adds a line that reports how
// many were dropped.
func (w *Writer) writeQueued(out io.Writer) {
	reported := int64(0)
	for line := range w.queue {
		buffer := line
		for more := len(w.queue); more > 0 && len(buffer) < 1<<15; more-- {
			next, open := <-w.queue
			if !open {
				break
			}
			buffer = append(buffer, next...)
		}
		if dropped := w.dropped.Load(); dropped > reported {
			buffer = fmt.Appendf(buffer, "{\"level\":\"WARN\",\"msg\":\"lines dropped\",\"count\":%d}\n", dropped-reported)
			reported = dropped
		}
		if _, err := out.Write(buffer); err != nil {
			w.dropped.Add(1)
		}
	}
}
