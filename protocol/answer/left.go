package answer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/samber/oops"

	"dogwooddyke/coordination/routing"
)

// MethodResumed is the peers' method by which an instance tells the one that started an answer that it goes on with it.
const MethodResumed = "answer.resumed"

// resumedParams names an answer that goes on at the calling instance.
type resumedParams struct {
	ID string `json:"id"`
}

// original is the request of an answer as the instance has it that began it; a reader at another instance needs it for a replay.
type original struct {
	Path string `json:"path,omitempty"`
	Body []byte `json:"body,omitempty"`
}

// place is where a generation runs.
type place struct {
	endpoint   netip.AddrPort
	generation string
}

// linger is an answer whose caller left and may come back.
type linger struct {
	slot     Slot
	original original
	taken    chan struct{} // closed when the answer goes on
}

// leave keeps the generation for the grace period where the caller can come back, and cancels it at once otherwise.
func (e *execution) leave() {
	if !e.evidence.mayHaveRun || e.place.generation == "" {
		e.release(routing.OutcomeCancelled, time.Now())
		return
	}
	// A caller who got nothing here still has a token of the former instance, and may have gone on with that one elsewhere.
	passedBy := e.resumed && e.evidence.delivered == e.resumedFrom
	if e.elsewhere.Load() || passedBy {
		e.release(routing.OutcomeCancelled, time.Now())
		return
	}
	kept := !e.request.Buffered && e.evidence.delivered > 0
	if kept && e.runner.linger(e, e.place) {
		e.slot = nil
		return
	}
	e.release(routing.OutcomeCancelled, time.Now())
	e.runner.cancelLater(e.place)
}

// linger waits for the caller to come back; false means that too many are waited for.
func (r *Runner) linger(e *execution, left place) bool {
	id := e.request.ID
	l := &linger{slot: e.slot, original: e.original, taken: make(chan struct{})}
	r.lock.Lock()
	defer r.lock.Unlock()
	if len(r.lingering) >= maximumLingering || r.lingering[id] != nil {
		return false
	}
	if r.lingering == nil {
		r.lingering = make(map[string]*linger)
	}
	r.lingering[id] = l
	r.background.Go(func() { r.await(id, l, left) })
	return true
}

// await cancels the generation when the grace period ends before the caller has come back.
func (r *Runner) await(id string, l *linger, left place) {
	timer := time.NewTimer(r.grace())
	defer timer.Stop()
	select {
	case <-l.taken:
		return
	case <-timer.C:
	}
	if !r.take(id, l) {
		return
	}
	if l.slot != nil {
		l.slot.Release(routing.OutcomeCancelled, time.Now())
	}
	r.cancel(left)
}

// take ends the wait for one answer; false means that it ended before.
func (r *Runner) take(id string, l *linger) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.lingering[id] != l {
		return false
	}
	delete(r.lingering, id)
	close(l.taken)
	return true
}

// adopt ends the wait for an answer whose caller came back to this instance or to another one; nil if there is none.
func (r *Runner) adopt(id string) *linger {
	r.lock.Lock()
	l := r.lingering[id]
	r.lock.Unlock()
	if l == nil || !r.take(id, l) {
		return nil
	}
	return l
}

// ServeResumed serves MethodResumed: it keeps an answer from being cancelled here.
func (r *Runner) ServeResumed(_ context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
	var resumed resumedParams
	if err := json.Unmarshal(params, &resumed); err != nil {
		return nil, oops.Wrapf(err, "%s", MethodResumed)
	}
	var begun original
	r.lock.Lock()
	if e := r.active[resumed.ID]; e != nil {
		e.elsewhere.Store(true)
		begun = e.original
	}
	r.lock.Unlock()
	if l := r.adopt(resumed.ID); l != nil {
		begun = l.original
		if l.slot != nil {
			l.slot.Release(routing.OutcomeCancelled, time.Now())
		}
	}
	return begun, nil
}

// noticeLater tells the instance that signed a token that the answer goes on here, and takes the request from it.
func (r *Runner) noticeLater(e *execution, origin netip.AddrPort) {
	if r.Peers == nil || !origin.IsValid() || origin == r.Self {
		close(e.brought)
		return
	}
	id, brought := e.request.ID, e.brought
	r.background.Go(func() {
		defer close(brought)
		for range noticeTries {
			var begun original
			ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
			err := r.Peers.Call(ctx, origin, MethodResumed, resumedParams{ID: id}, &begun)
			cancel()
			if err == nil {
				brought <- begun
				return
			}
			time.Sleep(noticePause)
		}
	})
}

// takeBrought completes the request of a caller who came back without it, from the instance that began the answer.
func (e *execution) takeBrought() {
	ctx, cancel := context.WithTimeout(e.ctx, noticeTimeout)
	defer cancel()
	for !e.replayable() {
		select {
		case begun, more := <-e.brought:
			if !more {
				return
			}
			e.complete(begun)
		case <-ctx.Done():
			return
		}
	}
}

// complete takes the request if it is the one that the caller's tokens came from.
func (e *execution) complete(begun original) {
	if !bytes.Equal(bodySum(begun.Body), e.bodySum) {
		return
	}
	e.request.Path, e.request.Body = begun.Path, begun.Body
	e.otherBody = false
}
