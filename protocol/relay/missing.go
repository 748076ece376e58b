package relay

import (
	"context"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
)

// askedRun is a run whose endpoint was asked to stop it and to copy it to a target.
type askedRun struct {
	slot   *routing.Slot // at the target
	target Endpoint
	copied Copy
	state  FormerRun
}

// isCopied reports whether the run can continue at the target.
func (a *askedRun) isCopied() bool {
	return a.state == FormerStopped && a.copied.Target == a.target.Address && a.target.ID != ""
}

// canContinue reports whether the run can continue without its connection: its endpoint has stopped it, or works on it no more and the target has its backup.
func (a *askedRun) canContinue(d *Dispatch) bool {
	return a.state == FormerStopped || a.state != FormerUnknown && a.slot != nil && a.target.Address == d.Backup
}

// drop releases the slot, and the copy if there is one.
func (a *askedRun) drop(x *execution) {
	releaseSlot(a.slot, routing.OutcomeCancelled)
	if a.state == FormerStopped {
		x.runner.background.Go(func() { x.dropCopy(a.copied) })
	}
}

// missesEvents reports whether the run's connection has gone silent and can be given up, since the endpoint has made events of the run that do not
// arrive and has stopped it. An endpoint that is slow, or has not begun the run, has made none; one that is leaving is left anyway. Until the run can
// continue elsewhere its connection is kept: it may come back.
func (x *execution) missesEvents(ctx context.Context, d *Dispatch, s *silenceTimer) bool {
	if d.Endpoint.Leaving() || x.result.Restores >= maximumRestores || !x.screening.AllowsMove(time.Now()) {
		return false
	}
	slot, target, found := x.stopTarget(d)
	if !found {
		return false
	}
	part, missing := Copy{}, true
	if s.runStop == stopNotAsked {
		part, missing = x.hasMade(ctx, d, s, target)
	}
	if !missing {
		releaseSlot(slot, routing.OutcomeCancelled)
		return false
	}
	a := &askedRun{slot: slot, target: target}
	var stop stopState
	a.copied, a.state, stop = x.stopFormer(s.stopping, d, target, true)
	if s.runStop = max(s.runStop, stop); !a.canContinue(d) {
		a.drop(x)
		x.runner.background.Go(func() { x.dropCopy(part) })
		return false
	}
	x.asked = a
	return true
}

// hasMade reports whether the endpoint has made events of the run that do not arrive. It is asked by a copy, which the run survives and which is returned
// then.
func (x *execution) hasMade(ctx context.Context, d *Dispatch, s *silenceTimer, target Endpoint) (Copy, bool) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	began := time.Now()
	copied, err := x.runner.Endpoints.Move(ctx, x.request.ID, d.Endpoint, target.Address, false)
	x.runner.Observer.Moved(x.request, d.Endpoint.Address, target.Address, copied, false, began, err)
	if err != nil {
		return Copy{}, false
	}
	read := s.reads.Load()
	missing := int64(copied.Created) > x.receivedEvent.Load() && wait.For(ctx, silenceConfirmation) == nil && s.reads.Load() == read
	if !missing {
		x.runner.background.Go(func() { x.dropCopy(copied) })
		return Copy{}, false
	}
	x.runner.Observer.StreamSilent(d, copied.Created, x.receivedEvent.Load())
	return copied, true
}

// finishSilence closes the silence timer of a stream that has ended. A run that a check may have stopped is at no endpoint.
func (x *execution) finishSilence(s *silenceTimer, complete bool) {
	s.finish(complete)
	if s.runStop != stopNotAsked {
		x.result.Phase = PhaseBetween
	}
}
