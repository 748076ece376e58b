package relay

import (
	"context"
	"errors"
)

// noticeCrash checks whether the endpoint has crashed under a dispatch for which it had not produced any output, and reports it if so. A
// prompt may be the cause then. An endpoint that was leaving has ended for another reason.
func (x *execution) noticeCrash(d *Dispatch, err error) {
	if x.request.Engine == nil || !isBroken(err) || x.caller.Err() != nil || d.Endpoint.Leaving() {
		return
	}
	if x.runner.Endpoints.Crashed(x.ctx, d.Endpoint.Address) {
		x.runner.Observer.CrashNoticed(d)
	}
}

// isBroken reports whether a dispatch that may have run failed because its connection was lost.
func isBroken(err error) bool {
	return !isNotRun(err) && reasonOf(err) == ReasonConnectionLost && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}
