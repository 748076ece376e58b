package relay

import (
	"net/netip"
	"slices"
	"time"

	"dogwooddyke/coordination/routing"
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

// specAfter describes the request for its continuation from the memory of its run at another endpoint of the same version, at the backup if there is one.
func (x *execution) specAfter(d *Dispatch) routing.RequestSpec {
	spec := x.spec
	spec.Version = d.Endpoint.Version
	spec.PreferredEndpoint = d.Backup
	spec.GeneratedTokens = int(x.passedTokens.Load())
	spec.Exclude = append(spec.Exclude[:len(spec.Exclude):len(spec.Exclude)], d.Endpoint.Address)
	return spec
}

// rememberBackup notes that the endpoint to which the memory of a dispatch's run was copied may have a backup. An endpoint that has made no event may
// not have copied anything there, so an older backup is better then.
func (x *execution) rememberBackup(d *Dispatch) {
	if !d.Backup.IsValid() {
		return
	}
	x.forgetBackup(d.Backup)
	at := 0
	if x.dispatchEvents == 0 && d.Copy != nil {
		at = len(x.backups)
	}
	x.backups = slices.Insert(x.backups, at, d.Backup)
	x.backups = x.backups[:min(len(x.backups), maximumBackups)]
}

// forgetBackup notes that an endpoint has no backup of the run any more.
func (x *execution) forgetBackup(address netip.AddrPort) {
	x.backups = slices.DeleteFunc(x.backups, func(a netip.AddrPort) bool { return a == address })
}

// backupMemories returns the backups from which a run can continue that has left the endpoint of the dispatch.
func (x *execution) backupMemories(d *Dispatch) []*runMemory {
	var memories []*runMemory
	for _, a := range x.backups {
		if a != d.Endpoint.Address {
			memories = append(memories, &runMemory{origin: OriginBackup, address: a, copy: Copy{Source: a, Handle: x.request.ID}})
		}
	}
	return memories
}
