package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
)

// silenceTimer cancels the reading of an answer when no event has come for the timeout and a check allows it. Time in which the caller is slow to read
// does not count. Without a timer it does nothing.
type silenceTimer struct {
	timer    *time.Timer // nil if the silence of the endpoint is not limited
	timeout  time.Duration
	pause    time.Duration // between two checks of one silence
	cancel   func()
	endCheck context.CancelFunc // ends a check in progress; nil if there are none
	check    func() bool        // reports whether the attempt may be given up; nil: always

	reads   atomic.Int64  // events that were waited for
	paused  atomic.Bool   // no event is waited for, since the caller is slow
	expired atomic.Bool   // whether the timer has cancelled the read
	held    chan struct{} // holds a value during a check; it guards closed
	closed  bool
}

// startSilenceTimer starts a timer that calls cancel. A stream that may be repeated is given up after any silence once a repeat is certain; a run that
// can be moved also if its endpoint has made events which do not arrive.
func (x *execution) startSilenceTimer(d *Dispatch, cancel func()) *silenceTimer {
	moves := x.request.Engine != nil && x.request.Engine.Moves
	switch {
	case x.mayRepeatSilent():
		timeout := max(x.request.Route.Target, minimumSilenceTimeout)
		return x.startCheckedTimer(timeout, repeatPause, cancel, x.newReserver(d, timeout).reserve)
	case !x.request.Route.Resumable && moves:
		check := func(ctx context.Context, s *silenceTimer) bool { return x.missesEvents(ctx, d, s) }
		return x.startCheckedTimer(minimumSilenceTimeout, minimumSilenceTimeout, cancel, check)
	default:
		return &silenceTimer{}
	}
}

// startCheckedTimer starts a timer that calls cancel if the check allows it; the check is repeated after each pause.
func (x *execution) startCheckedTimer(timeout, pause time.Duration, cancel func(), check func(ctx context.Context, s *silenceTimer) bool) *silenceTimer {
	ctx, endCheck := context.WithCancel(x.ctx)
	s := &silenceTimer{pause: pause, endCheck: endCheck}
	s.check = func() bool { return check(ctx, s) && ctx.Err() == nil }
	s.start(timeout, cancel)
	return s
}

// start starts the timer, which calls cancel.
func (s *silenceTimer) start(timeout time.Duration, cancel func()) {
	s.held = make(chan struct{}, 1)
	s.hold()
	defer s.free()
	s.timeout, s.cancel = timeout, cancel
	s.timer = time.AfterFunc(timeout, s.expire)
}

// hold waits for the end of a check in progress.
func (s *silenceTimer) hold() { s.held <- struct{}{} }

func (s *silenceTimer) free() { <-s.held }

// expire cancels the read if the check allows it, and else checks again after the pause.
func (s *silenceTimer) expire() {
	s.hold()
	defer s.free()
	if s.closed || s.paused.Load() {
		return
	}
	read := s.reads.Load()
	if s.check != nil && !s.check() {
		if s.reads.Load() == read {
			s.timer.Reset(s.pause)
		}
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
	s.hold()
	defer s.free()
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

// continueSilent returns a dispatch that continues a run elsewhere whose connection went silent before the head of the answer; nil if there is none.
func (x *execution) continueSilent(d *Dispatch, err error) *Dispatch {
	if !errors.Is(err, errSilent) || x.request.Route.Repeatable() {
		return nil
	}
	return x.continueElsewhere(d, stopNotAsked)
}
