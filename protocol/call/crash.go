package call

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/state/process"
)

// acquireAdmitted waits until the call may be sent, and for a slot. If the call has become suspected of crashing services meanwhile, it starts
// again.
func (x *execution) acquireAdmitted() error {
	for {
		err := x.screening.Admit(x.caller, x.request.Spec.Deadline)
		if refusal, ok := errors.AsType[*quarantine.RefusalError](err); ok {
			return fmt.Errorf("%w: %w", &routing.RefusalError{Reason: routing.ReasonQuarantined, RetryAt: refusal.RetryAt}, err)
		}
		if err != nil {
			return err
		}
		if err := x.acquire(); err != nil {
			return err
		}
		if x.screening.IsAdmitted(time.Now()) {
			return nil
		}
		x.release(routing.OutcomeCancelled)
	}
}

// noteCrash checks whether the service has crashed under a dispatch that may have run and whose connection was lost.
func (x *execution) noteCrash(err error) {
	isLost := err != nil && !errors.Is(err, answer.ErrNotStarted) && !errors.Is(err, errCallerLeft) && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
	if _, refused := errors.AsType[*answer.RefusedError](err); refused || !isLost || !x.runner.Services.Crashed(x.caller, x.endpoint) {
		return
	}
	now := time.Now()
	x.screening.Crashed(process.AtTime(x.endpoint, now), now)
}
