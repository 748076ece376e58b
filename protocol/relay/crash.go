package relay

import (
	"context"
	"errors"
	"time"

	"dogwooddyke/state/prompt"
)

// promptOf returns the parts of a request's prompt that may crash endpoints; none if the service has no model engines.
func promptOf(r *Request) []prompt.Part {
	if r.Engine == nil {
		return nil
	}
	return r.Parts
}

// noteCrash checks whether the endpoint has crashed under a dispatch, of whose answer so many events had come; the request may be the cause then.
// An endpoint that had time to leave has ended for that reason. One that breaks off as its notice comes has not: its entry in the list may be
// removed because it has crashed, and that may be known first.
func (x *execution) noteCrash(d *Dispatch, err error, events int) {
	if !isBroken(err) || x.caller.Err() != nil || d.Endpoint.hadTimeToLeave(time.Now()) {
		return
	}
	if !x.runner.Endpoints.Crashed(x.ctx, d.Endpoint.Address) {
		return
	}
	x.runner.Observer.CrashNoticed(d, events)
	x.screening.Crashed(d.Endpoint.Process(), time.Now())
}

// isBroken reports whether a dispatch that may have run failed because its connection was lost.
func isBroken(err error) bool {
	return !isNotRun(err) && reasonOf(err) == ReasonConnectionLost && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}
