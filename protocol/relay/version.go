package relay

import "dogwooddyke/coordination/routing"

// bind notes the version of the software that has made an event of the stream. From then on only endpoints of that version may go on with it, since what
// two versions make does not fit together.
func (x *execution) bind(version string) {
	if x.version.Load() == nil && version != "" {
		x.version.Store(&version)
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
