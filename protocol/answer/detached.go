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

// MethodResumed is the peer method with which an instance that resumes an answer informs the instance that issued the resume token.
const MethodResumed = "answer.resumed"

// resumedParameters are the parameters of MethodResumed; ID is the answer that the calling instance has resumed.
type resumedParameters struct {
	ID string `json:"id"`
}

// originalRequest is the request as an execution of the answer received it. A later execution that resumes the answer without the
// request's body needs it for a replay.
type originalRequest struct {
	Path string `json:"path,omitempty"`
	Body []byte `json:"body,omitempty"`
}

// location identifies a generation and the endpoint that runs it.
type location struct {
	endpoint   netip.AddrPort
	generation string
}

// detachedAnswer is an answer whose caller has left and may return.
type detachedAnswer struct {
	slot     Slot // may be nil
	original originalRequest
	taken    chan struct{} // closed when the answer is no longer detached
}

// detachOrCancel handles a caller that left: it keeps the generation for the grace period if the caller can resume it, cancels it
// if not, and only releases the slot if the generation was not started or another execution may be reading it.
func (e *execution) detachOrCancel() {
	if !e.evidence.mayHaveRun || e.location.generation == "" {
		e.releaseSlot(routing.OutcomeCancelled, time.Now())
		return
	}
	// If nothing was delivered since this execution resumed the answer, the caller still has the resume token that it came with and
	// may already have used it at another instance.
	nothingDelivered := e.resumed && e.evidence.delivered == e.resumedFrom
	if e.superseded.Load() || nothingDelivered {
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

// detach keeps the generation until the caller returns or the grace period ends. It returns false if maximumDetached answers are
// already kept, or one with the same id.
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

// expireDetached cancels the generation if the answer has not been resumed by the end of the grace period.
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

// removeDetached removes a detached answer and reports whether it was still detached.
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

// takeDetached removes and returns the detached answer with the id, which has been resumed here or at another instance. It returns
// nil if there is none.
func (r *Runner) takeDetached(id string) *detachedAnswer {
	r.mutex.Lock()
	d := r.detached[id]
	r.mutex.Unlock()
	if d == nil || !r.removeDetached(id, d) {
		return nil
	}
	return d
}

// ServeResumed serves MethodResumed: it prevents this instance from cancelling the answer's generation and returns the original request,
// which is empty if the answer is unknown here.
func (r *Runner) ServeResumed(_ context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
	var parameters resumedParameters
	if err := json.Unmarshal(params, &parameters); err != nil {
		return nil, oops.Wrapf(err, "%s", MethodResumed)
	}
	var original originalRequest
	r.mutex.Lock()
	if e := r.active[parameters.ID]; e != nil {
		e.superseded.Store(true)
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

// notifyOrigin informs the instance that issued the resume token, in the background, that the answer was resumed here, and sends the
// original request that it returns to the originals channel.
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

// fetchOriginal waits up to originCallTimeout for an original request whose body allows a replay, and restores that body.
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

// restoreBody replaces the request's path and body if the original body is the one that the delivered tokens were generated from.
func (e *execution) restoreBody(original originalRequest) {
	if !bytes.Equal(hashBody(original.Body), e.bodyHash) {
		return
	}
	e.request.Path, e.request.Body = original.Path, original.Body
	e.bodyDiffers = false
}
