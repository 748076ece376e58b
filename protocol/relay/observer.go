package relay

import (
	"net/netip"
	"time"
)

// Observer is notified of decisions; its methods must be fast and safe for concurrent use.
type Observer interface {
	// Dispatched is called before each dispatch, with the number of its request's dispatches, including this one.
	Dispatched(d *Dispatch, dispatches int)
	// RetryDecided is called after each failed dispatch, with its cause and whether the request is sent again.
	RetryDecided(r *Request, endpoint Endpoint, cause error, allowed bool)
	// CrashNoticed is called when an endpoint has crashed under a dispatch, with the events of its answer until then.
	CrashNoticed(d *Dispatch, events int)
	// FormerRunAsked is called after the endpoint of a stream that broke off was asked to stop the run, with what is known of the run then and the
	// error of the latest call.
	FormerRunAsked(d *Dispatch, state FormerRun, began time.Time, err error)
	// StreamSilent is called when an endpoint has made more events of a run than arrive, so that its connection is given up.
	StreamSilent(d *Dispatch, made int, received int64)
	// Moved is called after each attempt to copy a run's memory to another endpoint.
	Moved(r *Request, from, to netip.AddrPort, c Copy, last bool, began time.Time, err error)
}
