package routing

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// ReserveBackup chooses the endpoint that a run's memory is copied to as it grows. It answers the load pattern of endpoints that are lost at
// short notice or none, every few seconds: a run goes on from the copy without reading its prompt again. Where memory is short
// there is none, since copies would take the room of requests that wait.
func (c *Core) ReserveBackup(f *Request, now time.Time) (netip.AddrPort, bool) {
	if f.phase != phaseRunning || f.copied != nil {
		return netip.AddrPort{}, false
	}
	own := profile{}
	own.add(f)
	var best *account
	least := math.Inf(1)
	for _, a := range f.pool.accounts {
		if a == f.account || f.barred(a, now) != "" {
			continue
		}
		a.foresee(now)
		share := a.current(c.config.Instances, now)
		filled := a.profile.with(&own, share.Spread) / float64(max(share.Memory, 1))
		if filled > backupFill {
			continue
		}
		if a.dataCentre != f.account.dataCentre {
			filled += backupFar
		}
		if filled < least {
			best, least = a, filled
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	f.copied = best
	best.copies = append(best.copies, f)
	best.profile.add(f)
	return best.address, true
}

// unback forgets the copy of a run that ended.
func (c *Core) unback(f *Request) {
	a := f.copied
	if a == nil {
		return
	}
	f.copied = nil
	if at := slices.Index(a.copies, f); at >= 0 {
		a.copies = slices.Delete(a.copies, at, at+1)
	}
	a.profile.remove(f)
}
