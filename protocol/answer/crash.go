package answer

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/process"
)

// acquireAdmitted waits until the request may be sent, and for a slot. If a part of the prompt has become suspected of crashing engines
// meanwhile, it starts again.
func (e *execution) acquireAdmitted() error {
	for {
		if err := e.admitPrompt(); err != nil {
			return err
		}
		if err := e.acquireSlot(); err != nil {
			return err
		}
		if e.screening.IsAdmitted(time.Now()) {
			return nil
		}
		e.releaseSlot(routing.OutcomeCancelled, time.Now())
	}
}

// admitPrompt waits until the prompt may be sent to an engine.
func (e *execution) admitPrompt() error {
	deadline := e.request.Spec.Deadline
	if deadline.IsZero() {
		deadline = e.request.Deadline
	}
	err := e.screening.Admit(e.ctx, deadline)
	if refusal, ok := errors.AsType[*quarantine.RefusalError](err); ok {
		return fmt.Errorf("%w: %w", &routing.RefusalError{Reason: routing.ReasonQuarantined, RetryAt: refusal.RetryAt}, err)
	}
	return err
}

// noteCrash notes that an engine has crashed under the generation, which the request may have caused.
func (e *execution) noteCrash(cause error) {
	crashed := errors.Is(cause, errGenerationLost) || errors.Is(cause, errUnreachable) && errors.Is(cause, syscall.ECONNREFUSED)
	if !crashed || !e.evidence.mayHaveRun {
		return
	}
	now := time.Now()
	e.screening.Crashed(process.AtTime(e.location.endpoint, now), now)
}
