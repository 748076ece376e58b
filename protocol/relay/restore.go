package relay

import (
	"errors"
	"net/netip"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
)

// chooseBackup returns the endpoint to which the memory of a long run is copied while it continues; the zero value if there is none.
// A resumable stream needs no backup, since it may run again.
func (x *execution) chooseBackup() netip.AddrPort {
	e := x.request.Engine
	if e == nil || !e.Backups || x.request.Route.Resumable || x.slot.Decision().ExpectedTokens < minimumBackupTokens {
		return netip.AddrPort{}
	}
	backup, found := x.slot.ReserveBackup(time.Now())
	if !found {
		return netip.AddrPort{}
	}
	return backup
}

// specAfter describes the request for its continuation at another endpoint, at the backup if there is one.
func (x *execution) specAfter(d *Dispatch) routing.RequestSpec {
	spec := x.spec
	spec.PreferredEndpoint = d.Backup
	spec.GeneratedTokens = int(x.passedTokens.Load())
	spec.Exclude = append(spec.Exclude[:len(spec.Exclude):len(spec.Exclude)], d.Endpoint.Address)
	return spec
}

// restore returns a dispatch that continues a run from its backup after its endpoint has ended it; nil if that is not possible.
func (x *execution) restore(d *Dispatch) *Dispatch {
	if !d.Backup.IsValid() {
		return nil
	}
	spec := x.specAfter(d)
	slot, err := x.placeSoon(&spec)
	if err != nil {
		return nil
	}
	backup, found := x.runner.Roster.At(x.request.Service, d.Backup)
	if !found || slot.Endpoint() != d.Backup {
		slot.Release(routing.OutcomeCancelled, time.Now())
		return nil
	}
	x.release(routing.OutcomeFailed)
	x.slot = slot
	x.result.Restores++
	next := *d
	next.Endpoint, next.After, next.Copy = backup, x.lastEvent, &Copy{Source: d.Backup, Handle: x.request.ID}
	return &next
}

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
