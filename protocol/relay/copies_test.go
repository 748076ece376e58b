package relay

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/endpoint"
)

// fakeMemory is a copy of the run's memory that can be used once, at the endpoint to which it was copied, or at its source if that has stopped the run.
type fakeMemory struct {
	source, target netip.AddrPort
	used           bool
	dropped        bool
}

// use uses the memory from which a dispatch continues the run, and reports whether its endpoint has it.
func (f *fakeFleet) use(d *Dispatch) bool {
	switch {
	case d.Copy == nil:
		return true
	case d.Copy.Handle == d.Request.ID:
		had := f.backups[d.Endpoint.Address]
		delete(f.backups, d.Endpoint.Address)
		return had
	}
	m := f.memories[d.Copy.Handle]
	if m == nil {
		return true // the test has answered the copy itself
	}
	source := f.runs[m.source]
	if m.used || m.dropped || m.target != d.Endpoint.Address && !(m.source == d.Endpoint.Address && source.kept) {
		return false
	}
	m.used, source.kept = true, false
	return true
}

// copyRun copies a run to an endpoint, and stops it first if last is set.
func (f *fakeFleet) copyRun(from, to netip.AddrPort, last bool) (Copy, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := f.runs[from]
	if r == nil {
		return Copy{}, ErrNoRun
	}
	select {
	case <-r.stopped:
		if !r.kept || !f.copiesAgain {
			return Copy{}, ErrNoRun
		}
	default:
	}
	if last {
		r.kept = true
		r.stop()
	}
	handle := fmt.Sprint("h", len(f.memories))
	f.memories[handle] = &fakeMemory{source: from, target: to}
	return Copy{Source: from, Handle: handle, Created: int(r.made)}, nil
}

// Drop frees a copy.
func (f *fakeFleet) Drop(_ context.Context, c Copy) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if m := f.memories[c.Handle]; m != nil {
		f.is.True(!m.used) // a copy that is used is not freed
		m.dropped = true
	}
}

// fakeRouter refuses slots for runs that continue, as the test says.
type fakeRouter struct {
	*routing.Router
	fleet *fakeFleet
}

// routerOf returns the router behind that of a fake fleet's runner.
func routerOf(r *Runner) *routing.Router { return r.Router.(*fakeRouter).Router }

// Place refuses as the test says.
func (f *fakeRouter) Place(spec *routing.RequestSpec) (*routing.Slot, error) {
	if f.fleet.places != nil {
		if err := f.fleet.places(spec); err != nil {
			return nil, err
		}
	}
	return f.Router.Place(spec)
}

// origins returns from what each dispatch continued the run.
func (f *fakeFleet) origins() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var origins []string
	for n, s := range f.sends {
		origin := f.origin(n)
		if s.copy != nil && origin == "copy" && s.copy.Source == s.endpoint {
			origin = "source"
		}
		origins = append(origins, origin)
	}
	return origins
}

// noSlotFrom refuses slots for runs that continue, apart from the first ones, for a while from now.
func (f *fakeFleet) noSlotFrom(granted int, pause time.Duration) func(*routing.RequestSpec) error {
	until := time.Now().Add(pause)
	return func(*routing.RequestSpec) error {
		if granted--; granted >= 0 || time.Now().After(until) {
			return nil
		}
		return &routing.RefusalError{Reason: routing.ReasonNoEndpoint}
	}
}

// notTransferred notes that only the source of a copy has the memory.
func (f *fakeFleet) notTransferred(c Copy) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.memories[c.Handle].target = netip.AddrPort{}
}

// assertNothingHeld checks that no slot of the request is left.
func (f *fakeFleet) assertNothingHeld() {
	f.router.Demands(time.Now(), func(_ netip.AddrPort, d endpoint.Demand) { f.is.Equal(d.Running, 0) })
}

// isSecondSend reports whether the latest dispatch is the first that continues the run; the caller holds the mutex.
func (f *fakeFleet) isSecondSend() bool { return len(f.sends) == 2 }

// isSecond reports whether the address is that of the first dispatch that continues the run.
func (f *fakeFleet) isSecond(address netip.AddrPort) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.sends) > 1 && f.sends[1].endpoint == address
}
