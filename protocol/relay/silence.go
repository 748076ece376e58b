package relay

import (
	"context"
	"sync/atomic"
	"time"
)

// silenceTimer cancels the reading of an answer when no event has come for the timeout and a check allows it. Time in which the caller is slow to read
// does not count. Without a timer it does nothing.
type silenceTimer struct {
	timer    *time.Timer // nil if the silence of the endpoint is not limited
	timeout  time.Duration
	pause    time.Duration // between two checks of one silence
	cancel   func()
	stopping context.Context    // of a check that has the run stopped
	endStop  context.CancelFunc // ends such a check as well; nil if there are no checks
	endCheck context.CancelFunc // ends any other check in progress
	check    func() bool        // reports whether the attempt may be given up; nil: always

	reads   atomic.Int64  // events that were waited for
	paused  atomic.Bool   // no event is waited for, since the caller is slow
	expired atomic.Bool   // whether the timer has cancelled the read
	held    chan struct{} // holds a value during a check; it guards the fields below
	closed  bool
	runStop stopState // of the run, by the checks
}

// startSilenceTimer starts a timer that calls cancel. A stream that may be repeated is given up after any silence once a repeat is certain; a run that
// can be moved also if its endpoint has made events which do not arrive, and has stopped it.
func (x *execution) startSilenceTimer(d *Dispatch, cancel func()) *silenceTimer {
	misses := func(_ context.Context, _ *silenceTimer) bool { return false }
	if x.request.Engine != nil && x.request.Engine.Moves {
		misses = func(ctx context.Context, s *silenceTimer) bool { return x.missesEvents(ctx, d, s) }
	}
	switch {
	case x.mayRepeatSilent():
		timeout := max(x.request.Route.Target, minimumSilenceTimeout)
		r, asked := x.newReserver(d, timeout), time.Time{}
		return x.startCheckedTimer(timeout, repeatPause, cancel, func(ctx context.Context, s *silenceTimer) bool {
			if r.reserve(ctx, s) {
				return true
			}
			if time.Since(asked) < minimumSilenceTimeout {
				return false
			}
			asked = time.Now()
			return misses(ctx, s)
		})
	case x.request.Engine != nil && x.request.Engine.Moves:
		return x.startCheckedTimer(minimumSilenceTimeout, minimumSilenceTimeout, cancel, misses)
	default:
		return &silenceTimer{}
	}
}

// startCheckedTimer starts a timer that calls cancel if the check allows it; the check is repeated after each pause.
func (x *execution) startCheckedTimer(timeout, pause time.Duration, cancel func(), check func(ctx context.Context, s *silenceTimer) bool) *silenceTimer {
	s := &silenceTimer{pause: pause}
	s.stopping, s.endStop = context.WithCancel(x.ctx)
	ctx, endCheck := context.WithCancel(s.stopping)
	s.endCheck = endCheck
	s.check = func() bool { return check(ctx, s) && ctx.Err() == nil }
	s.start(timeout, cancel)
	return s
}

// start starts the timer, which calls cancel.
func (s *silenceTimer) start(timeout time.Duration, cancel func()) {
	s.held = make(chan struct{}, 1)
	s.lock()
	defer s.unlock()
	s.timeout, s.cancel = timeout, cancel
	s.timer = time.AfterFunc(timeout, s.expire)
}

// lock waits for the end of a check in progress. It is a channel so that virtual time goes on in tests while a check holds it.
func (s *silenceTimer) lock() { s.held <- struct{}{} }

func (s *silenceTimer) unlock() { <-s.held }

// expire cancels the read if the check allows it, and else checks again after the pause.
func (s *silenceTimer) expire() {
	s.lock()
	defer s.unlock()
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

// close stops the timer for good and waits for a check in progress, which it ends unless that has the run stopped: what has become of the run must be
// known then.
func (s *silenceTimer) close() { s.finish(false) }

// finish is close; if the stream is known to be complete, it ends any check.
func (s *silenceTimer) finish(complete bool) {
	if s.timer == nil {
		return
	}
	if s.endCheck != nil {
		s.endCheck()
	}
	if s.endStop != nil && complete {
		s.endStop()
	}
	s.lock()
	defer s.unlock()
	s.closed = true
	s.timer.Stop()
	if s.endStop != nil {
		s.endStop()
	}
}

// cause returns errSilent if the timer cancelled the read, else err.
func (s *silenceTimer) cause(err error) error {
	if s.expired.Load() {
		return errSilent
	}
	return err
}
