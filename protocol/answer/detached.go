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

// resumedParameters names an answer that goes on at the calling instance.
type resumedParameters struct {
	ID string `json:"id"`
}

// originalRequest is the request of an answer as the instance has it that began it; a reader at another instance needs it for a replay.
type originalRequest struct {
	Path string `json:"path,omitempty"`
	Body []byte `json:"body,omitempty"`
}

// location is where a generation runs.
type location struct {
	endpoint   netip.AddrPort
	generation string
}

// detachedAnswer is an answer whose caller left and may come back.
type detachedAnswer struct {
	slot     Slot
	original originalRequest
	taken    chan struct{} // closed when the answer goes on
}

// detachOrCancel keeps the generation for the grace period where the caller can come back, and cancels it at once otherwise.
func (e *execution) detachOrCancel() {
	if !e.evidence.mayHaveRun || e.location.generation == "" {
		e.releaseSlot(routing.OutcomeCancelled, time.Now())
		return
	}
	// A caller who got nothing here still has a token of the former instance, and may have gone on with that one elsewhere.
	unused := e.resumed && e.evidence.delivered == e.resumedFrom
	if e.continuedElsewhere.Load() || unused {
		e.releaseSlot(routing.OutcomeCancelled, time.Now())
		return
	}
	resumable := !e.request.Buffered && e.evidence.delivered > 0
	if resumable && e.runner.detach(e, e.location) {
		e.slot = nil
		return
	}
	e.releaseSlot(routing.OutcomeCancelled, time.Now())
	e.runner.cancelInBackground(e.location)
}

// detach waits for the caller to come back; false means that too many are waited for.
func (r *Runner) detach(e *execution, abandoned location) bool {
	id := e.request.ID
	d := &detachedAnswer{slot: e.slot, original: e.original, taken: make(chan struct{})}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.detached) >= maximumDetached || r.detached[id] != nil {
		return false
	}
	if r.detached == nil {
		r.detached = make(map[string]*detachedAnswer)
	}
	r.detached[id] = d
	r.background.Go(func() { r.expireDetached(id, d, abandoned) })
	return true
}

// expireDetached cancels the generation when the grace period ends before the caller has come back.
func (r *Runner) expireDetached(id string, d *detachedAnswer, abandoned location) {
	timer := time.NewTimer(r.grace())
	defer timer.Stop()
	select {
	case <-d.taken:
		return
	case <-timer.C:
	}
	if !r.removeDetached(id, d) {
		return
	}
	if d.slot != nil {
		d.slot.Release(routing.OutcomeCancelled, time.Now())
	}
	r.cancelUntilConfirmed(abandoned)
}

// removeDetached ends the wait for one answer; false means that it ended before.
func (r *Runner) removeDetached(id string, d *detachedAnswer) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.detached[id] != d {
		return false
	}
	delete(r.detached, id)
	close(d.taken)
	return true
}

// takeDetached ends the wait for an answer whose caller came back to this instance or to another one; nil if there is none.
func (r *Runner) takeDetached(id string) *detachedAnswer {
	r.mutex.Lock()
	d := r.detached[id]
	r.mutex.Unlock()
	if d == nil || !r.removeDetached(id, d) {
		return nil
	}
	return d
}

// ServeResumed serves MethodResumed: it keeps an answer from being cancelled here.
func (r *Runner) ServeResumed(_ context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
	var parameters resumedParameters
	if err := json.Unmarshal(params, &parameters); err != nil {
		return nil, oops.Wrapf(err, "%s", MethodResumed)
	}
	var original originalRequest
	r.mutex.Lock()
	if e := r.active[parameters.ID]; e != nil {
		e.continuedElsewhere.Store(true)
		original = e.original
	}
	r.mutex.Unlock()
	if d := r.takeDetached(parameters.ID); d != nil {
		original = d.original
		if d.slot != nil {
			d.slot.Release(routing.OutcomeCancelled, time.Now())
		}
	}
	return original, nil
}

// notifyOrigin tells the instance that signed a token that the answer goes on here, and takes the request from it.
func (r *Runner) notifyOrigin(e *execution, origin netip.AddrPort) {
	if r.Peers == nil || !origin.IsValid() || origin == r.Self {
		close(e.originals)
		return
	}
	id, originals := e.request.ID, e.originals
	r.background.Go(func() {
		defer close(originals)
		for range originCallAttempts {
			var original originalRequest
			ctx, cancel := context.WithTimeout(context.Background(), originCallTimeout)
			err := r.Peers.Call(ctx, origin, MethodResumed, resumedParameters{ID: id}, &original)
			cancel()
			if err == nil {
				originals <- original
				return
			}
			time.Sleep(originCallPause)
		}
	})
}

// fetchOriginal completes the request of a caller who came back without it, from the instance that began the answer.
func (e *execution) fetchOriginal() {
	ctx, cancel := context.WithTimeout(e.ctx, originCallTimeout)
	defer cancel()
	for !e.replayable() {
		select {
		case original, open := <-e.originals:
			if !open {
				return
			}
			e.restoreBody(original)
		case <-ctx.Done():
			return
		}
	}
}

// restoreBody takes the request if it is the one that the caller's tokens came from.
func (e *execution) restoreBody(original originalRequest) {
	if !bytes.Equal(hashBody(original.Body), e.bodyHash) {
		return
	}
	e.request.Path, e.request.Body = original.Path, original.Body
	e.bodyDiffers = false
}
