package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
)

// silenceTimer cancels the reading of a stream when no event has come for the timeout and the stream is found to be silent. Time in which the caller
// is slow to read does not count. Without a timer it does nothing.
type silenceTimer struct {
	timer    *time.Timer // nil if the silence of the endpoint is not limited
	timeout  time.Duration
	cancel   func()
	endCheck context.CancelFunc // ends a check in progress; nil if every silence counts
	isSilent func() bool        // checks whether the stream is silent, rather than its endpoint slow; nil: every silence counts

	reads   atomic.Int64 // events that were waited for
	paused  atomic.Bool  // no event is waited for, since the caller is slow
	expired atomic.Bool  // whether the timer has cancelled the read
	mutex   sync.Mutex   // held during a check
	closed  bool
}

// startSilenceTimer starts a timer that calls cancel. A resumable stream is continued elsewhere after any silence, if the request has another attempt
// left; any other run that can be moved only if its endpoint has made events which do not arrive.
func (x *execution) startSilenceTimer(d *Dispatch, cancel func()) *silenceTimer {
	s := &silenceTimer{}
	switch {
	case x.request.Route.Resumable && x.mayHaveRun+1 < x.request.Route.Attempts:
		s.start(max(x.request.Route.Target, minimumSilenceTimeout), cancel)
	case !x.request.Route.Resumable && x.request.Engine != nil && x.request.Engine.Moves:
		ctx, endCheck := context.WithCancel(x.ctx)
		s.endCheck = endCheck
		s.isSilent = func() bool { return x.missesEvents(ctx, d, s) }
		s.start(minimumSilenceTimeout, cancel)
	}
	return s
}

// start starts the timer, which calls cancel.
func (s *silenceTimer) start(timeout time.Duration, cancel func()) {
	s.timeout, s.cancel = timeout, cancel
	s.timer = time.AfterFunc(timeout, s.expire)
}

// expire cancels the read if the stream is silent, and else starts the timeout again.
func (s *silenceTimer) expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || s.paused.Load() {
		return
	}
	read := s.reads.Load()
	if s.isSilent != nil && !s.isSilent() {
		if s.reads.Load() == read {
			s.timer.Reset(s.timeout)
		}
		return
	}
	if s.reads.Load() != read {
		return
	}
	s.expired.Store(true)
	s.cancel()
}

// reset restarts the timeout before the next event is read.
func (s *silenceTimer) reset() {
	if s.timer != nil {
		s.reads.Add(1)
		s.paused.Store(false)
		s.timer.Reset(s.timeout)
	}
}

// stop stops the timer while an event is written to the caller.
func (s *silenceTimer) stop() {
	if s.timer != nil {
		s.reads.Add(1)
		s.paused.Store(true)
		s.timer.Stop()
	}
}

// close stops the timer for good and waits for a check in progress.
func (s *silenceTimer) close() {
	if s.timer == nil {
		return
	}
	if s.endCheck != nil {
		s.endCheck()
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.timer.Stop()
}

// cause returns errSilent if the timer cancelled the read, else err.
func (s *silenceTimer) cause(err error) error {
	if s.expired.Load() {
		return errSilent
	}
	return err
}

// missesEvents reports whether the endpoint has made events of the run that do not arrive, since the connection has gone silent. An endpoint that is
// slow, or has not begun the run, has made none; one that is leaving is left anyway.
func (x *execution) missesEvents(ctx context.Context, d *Dispatch, s *silenceTimer) bool {
	if d.Endpoint.Leaving() || !x.screening.AllowsMove(time.Now()) {
		return false
	}
	slot, target, found := x.targetAfter(d)
	if !found {
		return false
	}
	defer slot.Release(routing.OutcomeCancelled, time.Now())
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	began := time.Now()
	copied, err := x.runner.Endpoints.Move(ctx, x.request.ID, d.Endpoint, target.Address, false)
	x.runner.Observer.Moved(x.request, d.Endpoint.Address, target.Address, copied, false, began, err)
	if err != nil {
		return false
	}
	read := s.reads.Load()
	missing := int64(copied.Created) > x.receivedEvent.Load() && wait.For(ctx, silenceConfirmation) == nil && s.reads.Load() == read
	if !missing {
		x.runner.background.Go(func() { x.dropCopy(copied) })
		return false
	}
	x.runner.Observer.StreamSilent(d, copied.Created, x.receivedEvent.Load())
	return true
}
