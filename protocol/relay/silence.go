package relay

import (
	"sync/atomic"
	"time"
)

// silenceTimer cancels the reading of a resumable stream when its endpoint sends no event for the timeout. Time in which the caller is slow
// to read does not count. Without a timer it does nothing.
type silenceTimer struct {
	timer   *time.Timer // nil if the silence of the endpoint is not limited
	timeout time.Duration
	expired atomic.Bool // whether the timer has cancelled the read
}

// startSilenceTimer starts a timer that calls cancel, if the request is resumable and has another attempt left.
func (x *execution) startSilenceTimer(cancel func()) *silenceTimer {
	if !x.request.Route.Resumable || x.mayHaveRun+1 >= x.request.Route.Attempts {
		return &silenceTimer{}
	}
	return newSilenceTimer(max(x.request.Route.Target, minimumSilenceTimeout), cancel)
}

func newSilenceTimer(timeout time.Duration, cancel func()) *silenceTimer {
	s := &silenceTimer{timeout: timeout}
	s.timer = time.AfterFunc(timeout, func() {
		s.expired.Store(true)
		cancel()
	})
	return s
}

// reset restarts the timeout before the next event is read.
func (s *silenceTimer) reset() {
	if s.timer != nil {
		s.timer.Reset(s.timeout)
	}
}

// stop stops the timer while an event is written to the caller, or for good.
func (s *silenceTimer) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// cause returns errSilent if the timer cancelled the read, else err.
func (s *silenceTimer) cause(err error) error {
	if s.expired.Load() {
		return errSilent
	}
	return err
}
