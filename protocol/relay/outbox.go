package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"dogwooddyke/state/memory"
)

// outbox holds the part of an answer that its caller has not read yet. The answer is read from its endpoint as it comes, also while the caller reads
// slowly, since endpoints cut off answers that remain unread. If the budget has no bytes left, reading waits for the caller.
type outbox struct {
	sink   Sink
	budget *memory.Budget
	lost   func() // called when the caller turns out to have left
	group  conc.WaitGroup
	wake   chan struct{} // receives a value when there is something to write, or nothing more will come
	taken  chan struct{} // receives a value when what was held has been taken to be written
	done   chan struct{} // closed when the writer has ended

	mutex  sync.Mutex
	status int // of the head that is to be written; zero: none
	header http.Header
	data   []byte // that is to be written
	counts int    // bytes of data that the budget counts
	taking int    // bytes that the sink has been given and has not taken yet
	begun  bool
	closed bool // nothing more will come
	err    error
}

func newOutbox(sink Sink, budget *memory.Budget, lost func()) *outbox {
	return &outbox{sink: sink, budget: budget, lost: lost, wake: make(chan struct{}, 1), taken: make(chan struct{}, 1), done: make(chan struct{})}
}

// begin has the head of the answer written, and starts the writer.
func (o *outbox) begin(status int, header http.Header) {
	o.mutex.Lock()
	o.status, o.header, o.begun = status, header, true
	o.mutex.Unlock()
	o.group.Go(o.run)
	notify(o.wake)
}

// put has a copy of the data written. While the budget is used up and the caller has not taken what is held, it waits until the context is done. It
// returns errCallerLeft if the caller has left.
func (o *outbox) put(ctx context.Context, data []byte) error {
	for {
		o.mutex.Lock()
		if o.err != nil {
			o.mutex.Unlock()
			return errCallerLeft
		}
		counted := o.budget.Take(len(data))
		if counted || len(o.data) == 0 {
			o.data = append(o.data, data...)
			if counted {
				o.counts += len(data)
			}
			o.mutex.Unlock()
			notify(o.wake)
			return nil
		}
		o.mutex.Unlock()
		select {
		case <-o.taken:
		case <-time.After(budgetPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// give has data written that the caller of give does not use any more, and that is counted elsewhere.
func (o *outbox) give(data []byte) {
	o.mutex.Lock()
	if len(o.data) == 0 {
		o.data = data
	} else {
		o.data = append(o.data, data...)
	}
	o.mutex.Unlock()
	notify(o.wake)
}

// close waits until the caller has been sent everything, or the context is done, and returns errCallerLeft if the caller has left or does not read, and
// another error if the sink has panicked. The sink is not used after that.
func (o *outbox) close(ctx context.Context) error {
	o.mutex.Lock()
	begun := o.begun
	o.closed = true
	o.mutex.Unlock()
	if !begun {
		return nil
	}
	notify(o.wake)
	select {
	case <-o.done:
	case <-ctx.Done():
		o.sink.Cancel()
	}
	o.group.Wait()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.budget.Return(o.counts)
	o.counts = 0
	if isPanic(o.err) {
		return o.err
	}
	if o.err != nil {
		return errCallerLeft
	}
	return nil
}

// isPanic reports whether an error is a panic of the sink.
func isPanic(err error) bool {
	_, recovered := errors.AsType[*panics.ErrRecovered](err)
	return recovered
}

// run writes what is held until nothing more will come or the caller has left.
func (o *outbox) run() {
	defer close(o.done)
	for range o.wake {
		if ended, err := o.tryWriteHeld(); err != nil || ended {
			if err != nil {
				o.fail(err)
			}
			return
		}
	}
}

// tryWriteHeld is writeHeld, but returns an error if the sink panics.
func (o *outbox) tryWriteHeld() (ended bool, err error) {
	if recovered := panics.Try(func() { ended, err = o.writeHeld() }); recovered != nil {
		return false, recovered.AsError()
	}
	return ended, err
}

// writeHeld writes what is held, and reports whether nothing more will come.
func (o *outbox) writeHeld() (ended bool, err error) {
	o.mutex.Lock()
	status, header, data, counts := o.status, o.header, o.data, o.counts
	o.status, o.data, o.counts, o.taking, ended = 0, nil, 0, len(data), o.closed
	o.mutex.Unlock()
	notify(o.taken)
	defer o.budget.Return(counts)
	if status != 0 {
		err = o.sink.Begin(status, header)
	}
	if err == nil && len(data) > 0 {
		err = o.sink.Write(data)
	}
	if err == nil {
		o.mutex.Lock()
		o.taking = 0
		o.mutex.Unlock()
	}
	return ended, err
}

// unsent returns the bytes that are held, or that the sink has not taken whole.
func (o *outbox) unsent() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.data) + o.taking
}

// fail notes that the caller has left.
func (o *outbox) fail(err error) {
	o.mutex.Lock()
	o.err = err
	o.mutex.Unlock()
	o.lost()
}

// notify sends to a channel of capacity one unless a value is pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
