package lines

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

// queueCapacity is the number of lines that may be queued.
const queueCapacity = 2048

// Writer queues lines for a slower writer, and drops and counts those that do not fit into the queue. It is safe for concurrent use.
type Writer struct {
	queue   chan []byte
	dropped atomic.Int64
	group   conc.WaitGroup
	mutex   sync.RWMutex // guards closed
	closed  bool
}

// New returns a writer that writes to out in the background.
func New(out io.Writer) *Writer {
	w := &Writer{queue: make(chan []byte, queueCapacity)}
	w.group.Go(func() { w.writeQueued(out) })
	return w
}

// Write queues one line; it never blocks and never fails, and it discards the line if the writer is closed.
func (w *Writer) Write(line []byte) (int, error) {
	w.mutex.RLock()
	defer w.mutex.RUnlock()
	if w.closed {
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines plus the number of failed writes.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close returns once all queued lines are written; it blocks for as long as the underlying writer does.
func (w *Writer) Close() {
	w.mutex.Lock()
	w.closed = true
	close(w.queue)
	w.mutex.Unlock()
	w.group.Wait()
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
