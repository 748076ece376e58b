package quarantine

import (
	"context"
	"sync/atomic"
	"time"

	"dogwooddyke/state/process"
	"dogwooddyke/state/prompt"
)

// Screening tracks the admission of one request. It is not safe for concurrent use, except for AllowsMove.
type Screening struct {
	exchange   *Exchange
	parts      []prompt.Part // of the prompt, and the request as a whole
	begun      atomic.Bool   // an endpoint has produced output, so that its prompt does not crash endpoints
	admission  Admission
	implicated bool // an endpoint has crashed before it had produced output on the prompt
}

// Screen returns the screening of a request, whose prompt has these parts, if it has one. An exchange that is nil lets all requests through.
func (x *Exchange) Screen(parts []prompt.Part, whole prompt.Part) *Screening {
	s := &Screening{exchange: x}
	if x != nil {
		s.parts = append(parts[:len(parts):len(parts)], whole)
	}
	return s
}

// open returns the parts that may crash the endpoint that the request is sent to next.
func (s *Screening) open() []prompt.Part {
	if s.exchange != nil && s.begun.Load() {
		return s.parts[len(s.parts)-1:]
	}
	return s.parts
}

// hasPrompt reports whether the request has a prompt of several parts.
func (s *Screening) hasPrompt() bool { return len(s.parts) > 1 }

// Admit waits until the request may be sent to an endpoint, until the deadline at the latest. It returns a *RefusalError if it may not, or the
// error of the context.
func (s *Screening) Admit(ctx context.Context, deadline time.Time) error {
	if s.exchange == nil {
		return nil
	}
	s.End()
	admission, err := s.exchange.Admit(ctx, s.open(), s.implicated, deadline)
	s.admission = admission
	return err
}

// IsAdmitted reports whether the request, which has been admitted, may still be sent.
func (s *Screening) IsAdmitted(now time.Time) bool {
	return s.exchange == nil || s.exchange.Allows(s.open(), s.admission, now)
}

// AllowsMove reports whether a run may be moved to another endpoint, where it may crash that.
func (s *Screening) AllowsMove(now time.Time) bool {
	return s.exchange == nil || s.exchange.Allows(s.open(), Admission{}, now)
}

// Begun notes that an endpoint has produced output. That clears the prompt, but not the request as a whole.
func (s *Screening) Begun(now time.Time) {
	if s.exchange == nil || s.begun.Swap(true) {
		return
	}
	s.implicated = false
	prompt, whole := s.parts[:len(s.parts)-1], s.parts[len(s.parts)-1]
	s.exchange.Answered(prompt, now)
	if s.admission.part != whole {
		s.End()
	}
}

// Answered notes that an endpoint has answered the request completely.
func (s *Screening) Answered(now time.Time) {
	if s.exchange == nil {
		return
	}
	s.exchange.Answered(s.open(), now)
	s.End()
}

// Crashed notes that an endpoint has crashed before it had answered the request completely.
func (s *Screening) Crashed(p process.ID, now time.Time) {
	if s.exchange == nil {
		return
	}
	s.implicated = s.hasPrompt() && !s.begun.Load()
	s.exchange.crashedUnder(s.admission, p, s.open(), now)
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
