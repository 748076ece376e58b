package relay

import (
	"time"

	"dogwooddyke/coordination/routing"
)

// findVersion binds a stream that its caller takes up again to the version that began it. It reports whether the request may be sent: if the version is
// not known, no endpoint may go on with the stream.
func (x *execution) findVersion() bool {
	if x.request.After == 0 || !x.request.Route.Resumable || x.runner.Streams == nil {
		return true
	}
	version := x.runner.Streams.Find(x.ctx, x.request)
	if version == "" {
		x.screening.End()
		x.endUnadmitted(&routing.RefusalError{Reason: routing.ReasonVersion, RetryAt: time.Now().Add(unknownVersionRetry)})
		return false
	}
	x.version.Store(&version)
	return true
}

// noteEvent notes the version that has made an event of the stream. From then on only endpoints of that version may go on with it, since what two
// versions make does not fit together.
func (x *execution) noteEvent(version string) {
	if x.hasEvent || version == "" {
		return
	}
	x.hasEvent = true
	x.version.CompareAndSwap(nil, &version)
	if x.request.Route.Resumable && x.runner.Streams != nil {
		x.runner.Streams.Began(x.request, version)
	}
}

// boundVersion returns the only version that may go on with the stream; empty: any.
func (x *execution) boundVersion() string {
	if bound := x.version.Load(); bound != nil {
		return *bound
	}
	return ""
}

// fits reports whether an endpoint is of the version that the stream is bound to.
func (x *execution) fits(e Endpoint) bool { return isVersion(e, x.boundVersion()) }

// isVersion reports whether an endpoint is of a version; empty: any.
func isVersion(e Endpoint, version string) bool { return version == "" || e.Version == version }

// boundSpec describes the request to the router, with the version that the stream is bound to.
func (x *execution) boundSpec() routing.RequestSpec {
	spec := x.spec
	spec.Version = x.boundVersion()
	return spec
}
