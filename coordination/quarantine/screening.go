package quarantine

import (
	"context"
	"time"

	"dogwooddyke/state/process"
	"dogwooddyke/state/prompt"
)

// Screening tracks the admission of one request. It is not safe for concurrent use, except for AllowsMove.
type Screening struct {
	exchange   *Exchange
	parts      []prompt.Part
	admission  Admission
	answered   bool // an endpoint has produced output on the prompt
	implicated bool // an endpoint has crashed before it had produced output on the prompt
}

// Screen returns the screening of a request whose prompt has these parts. An exchange that is nil lets all requests through.
func (x *Exchange) Screen(parts []prompt.Part) *Screening {
	if x == nil {
		parts = nil
	}
	return &Screening{exchange: x, parts: parts}
}

// isNeeded reports whether the prompt may crash the endpoint that it is sent to next. Once an endpoint has produced output on it, it does not,
// unless another one has crashed.
func (s *Screening) isNeeded() bool { return len(s.parts) > 0 && (!s.answered || s.implicated) }

// Admit waits until the request may be sent to an endpoint, until the deadline at the latest. It returns a *RefusalError if it may not, or the
// error of the context.
func (s *Screening) Admit(ctx context.Context, deadline time.Time) error {
	if !s.isNeeded() {
		return nil
	}
	s.End()
	admission, err := s.exchange.Admit(ctx, s.parts, s.implicated, deadline)
	s.admission = admission
	return err
}

// IsAdmitted reports whether the request, which has been admitted, may still be sent.
func (s *Screening) IsAdmitted(now time.Time) bool {
	return !s.isNeeded() || s.exchange.Allows(s.parts, s.admission, now)
}

// AllowsMove reports whether a run without output may be moved to another endpoint, where it may crash that.
func (s *Screening) AllowsMove(now time.Time) bool {
	return len(s.parts) == 0 || s.exchange.Allows(s.parts, Admission{}, now)
}

// Answered notes that an endpoint has produced output on the prompt.
func (s *Screening) Answered(now time.Time) {
	if len(s.parts) == 0 {
		return
	}
	s.answered = true
	s.exchange.Answered(s.parts, now)
	s.End()
}

// Crashed notes that an endpoint has crashed before it had produced any output on the prompt.
func (s *Screening) Crashed(p process.ID, now time.Time) {
	if len(s.parts) == 0 {
		return
	}
	s.implicated = true
	s.exchange.Crashed(p, s.parts, now)
	s.end(true)
}

// End ends the request's trial if it is on trial, so that another request may be.
func (s *Screening) End() { s.end(false) }

// end ends the request's trial, which has failed if an endpoint has crashed under it.
func (s *Screening) end(failed bool) {
	if s.exchange == nil {
		return
	}
	s.exchange.End(s.admission, failed)
	s.admission = Admission{}
}
