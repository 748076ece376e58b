package relay

import (
	"context"
	"errors"
	"time"

	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/state/process"
	"dogwooddyke/state/prompt"
)

// Quarantine keeps requests from endpoints whose prompts have a part that crashes endpoints.
type Quarantine interface {
	// Admit waits until a request may be sent; its errors may be *quarantine.RefusalError.
	Admit(ctx context.Context, parts []prompt.Part, implicated bool, deadline time.Time) (quarantine.Admission, error)
	// Allows reports whether an admitted request may still be sent.
	Allows(parts []prompt.Part, a quarantine.Admission, now time.Time) bool
	// End ends an admission.
	End(a quarantine.Admission)
	// Answered records that an endpoint has produced output on a prompt with these parts.
	Answered(parts []prompt.Part, now time.Time)
	// Crashed records that an endpoint has crashed before it had produced any output on a prompt with these parts.
	Crashed(p process.ID, parts []prompt.Part, now time.Time)
}

// isScreened reports whether the request's prompt may crash the endpoint that it is sent to next. Endpoints have produced output on the prompt
// of a run that has begun, unless one has crashed since.
func (x *execution) isScreened() bool {
	return x.request.Engine != nil && len(x.request.Parts) > 0 && (x.passedTokens.Load() == 0 || x.implicated)
}

// admitPrompt waits until the request may be sent to an endpoint.
func (x *execution) admitPrompt() error {
	if !x.isScreened() {
		return nil
	}
	x.endAdmission()
	admission, err := x.runner.Quarantine.Admit(x.ctx, x.request.Parts, x.implicated, x.spec.Deadline)
	x.admission = admission
	return err
}

// isStillAdmitted reports whether the request may be sent after it has waited for a slot.
func (x *execution) isStillAdmitted() bool {
	return !x.isScreened() || x.runner.Quarantine.Allows(x.request.Parts, x.admission, time.Now())
}

// endAdmission ends the request's admission, so that another request may be on trial.
func (x *execution) endAdmission() {
	x.runner.Quarantine.End(x.admission)
	x.admission = quarantine.Admission{}
}

// mayMove reports whether the request's run may be moved to another endpoint. One without output may crash that.
func (x *execution) mayMove() bool {
	return x.passedTokens.Load() > 0 || x.runner.Quarantine.Allows(x.request.Parts, quarantine.Admission{}, time.Now())
}

// noteAnswered notes that the endpoint has produced output on the prompt.
func (x *execution) noteAnswered() {
	if x.request.Engine == nil || len(x.request.Parts) == 0 {
		return
	}
	x.runner.Quarantine.Answered(x.request.Parts, time.Now())
	x.endAdmission()
}

// noteCrash checks whether the endpoint has crashed under a dispatch that it had not produced any output for. The prompt may be the cause then.
// An endpoint that was leaving has ended for another reason.
func (x *execution) noteCrash(d *Dispatch, err error) {
	if x.request.Engine == nil || !isBroken(err) || x.caller.Err() != nil || d.Endpoint.Leaving() {
		return
	}
	if !x.runner.Endpoints.Crashed(x.ctx, d.Endpoint.Address) {
		return
	}
	x.implicated = true
	x.runner.Observer.CrashNoticed(d)
	x.runner.Quarantine.Crashed(d.Endpoint.Process(), x.request.Parts, time.Now())
	x.endAdmission()
}

// isBroken reports whether a dispatch that may have run failed because its connection was lost.
func isBroken(err error) bool {
	return !isNotRun(err) && reasonOf(err) == ReasonConnectionLost && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}
