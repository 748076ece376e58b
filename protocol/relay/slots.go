package relay

import (
	"errors"
	"net/netip"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
)

// placeSoon returns a slot for a run that continues at another endpoint. If only a permit is missing, which the router then asks for, or only
// endpoints that rest are left, it waits a little.
func (x *execution) placeSoon(spec *routing.RequestSpec) (*routing.Slot, error) {
	deadline := time.Now().Add(permitWait)
	for {
		slot, err := x.runner.Router.Place(spec)
		refusal, ok := errors.AsType[*routing.RefusalError](err)
		if !ok || !refusal.MayPassSoon() || !time.Now().Before(deadline) {
			return slot, err
		}
		if err := wait.For(x.ctx, permitPollInterval); err != nil {
			return nil, err
		}
	}
}

// lookUp returns the endpoint of a slot, which is released if the endpoint is not in the roster any more, or another version has its address.
func (x *execution) lookUp(slot *routing.Slot, version string) (*routing.Slot, Endpoint, bool) {
	target, found := x.runner.Roster.At(x.request.Service, slot.Endpoint())
	if !found || !isVersion(target, version) {
		slot.Release(routing.OutcomeCancelled, time.Now())
		return nil, Endpoint{}, false
	}
	return slot, target, true
}

// takeSlot keeps the slot of the latest dispatch for the memory at its endpoint.
func (x *execution) takeSlot(m *runMemory) *runMemory {
	m.slot, x.slot = x.slot, nil
	return m
}

// exclude keeps the router from choosing an endpoint again.
func (x *execution) exclude(address netip.AddrPort) {
	x.spec.Exclude = append(x.spec.Exclude, address)
}

// release releases the slot if the request has one.
func (x *execution) release(outcome routing.Outcome) {
	if x.slot != nil {
		x.slot.Release(outcome, time.Now())
		x.slot = nil
	}
}

// releaseSlot releases a slot if there is one.
func releaseSlot(slot *routing.Slot, outcome routing.Outcome) {
	if slot != nil {
		slot.Release(outcome, time.Now())
	}
}
