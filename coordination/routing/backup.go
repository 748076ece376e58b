package routing

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// ReserveBackup chooses the endpoint that a run's memory is copied to as it grows, and reserves memory there. When endpoints are lost every
// few seconds, at short notice or without any, a run can continue from its backup without processing its prompt again. Where memory is
// short no endpoint is chosen, since backups would take the room of queued requests. It returns false if none is chosen, the run already
// has a backup or it has ended.
func (c *Core) ReserveBackup(r *Request, now time.Time) (netip.AddrPort, bool) {
	if r.phase != phaseRunning || r.backup != nil {
		return netip.AddrPort{}, false
	}
	runProfile := profile{}
	runProfile.add(r)
	var best *endpointState
	least := math.Inf(1)
	for _, e := range r.pool.endpoints {
		verdict := r.ineligibility(e, now)
		if e == r.endpoint || e.version != r.endpoint.version || e.doubted || verdict != "" && verdict != VerdictRateLimited {
			continue
		}
		e.refreshProfile(now)
		share := e.currentShare(c.config.Instances, now)
		filled := e.profile.peakWith(&runProfile, share.Spread) / float64(max(share.Memory, 1))
		if filled > maximumBackupFill {
			continue
		}
		if e.dataCentre != r.endpoint.dataCentre {
			filled += remoteBackupFill
		}
		if e.quota.limited {
			filled += limitedBackupFill // the run would need a permit to continue there
		}
		if filled < least {
			best, least = e, filled
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	r.backup = best
	best.backups = append(best.backups, r)
	best.profile.add(r)
	return best.address, true
}

// releaseBackup frees the memory that is reserved for the backup of a run.
func (c *Core) releaseBackup(r *Request) {
	e := r.backup
	if e == nil {
		return
	}
	r.backup = nil
	if at := slices.Index(e.backups, r); at >= 0 {
		e.backups = slices.Delete(e.backups, at, at+1)
	}
	e.profile.remove(r)
}
