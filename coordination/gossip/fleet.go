package gossip

import (
	"net/netip"
	"time"
)

// What all instances together may use of something is divided by who is live. An instance that has just started, or that is cut off, hears of
// few others or of none, and must not take itself for the whole fleet.

// Settled returns the other live instances that have run for the settle time. All instances agree on these but for moments: an instance
// that starts is not settled before it has heard of the others and they of it.
func (p *Peers) Settled(now time.Time) []netip.AddrPort {
	var settled []netip.AddrPort
	for a, k := range p.known {
		if p.isLive(k, now) && !k.since.IsZero() && now.Sub(k.since) >= p.SettleTime() {
			settled = append(settled, a)
		}
	}
	return settled
}

// IsNewcomer reports whether the sender's process has just started: the latest report is the first one of it that was received.
func (p *Peers) IsNewcomer(r *Report) bool {
	k := p.known[r.From]
	return k != nil && k.report == r && k.newcomer && r.Uptime > 0 && r.Uptime < p.SettleTime()
}

// SettleTime returns the time from the start of a process until it is settled, in which it hears of each live instance that it can reach.
func (p *Peers) SettleTime() time.Duration { return p.expiry() }

// SilentCount returns the number of instances that are not live but may be so without being heard of, because they or this instance are cut
// off or stand still. An instance that has said that it ends does not count.
func (p *Peers) SilentCount(now time.Time) int {
	count := 0
	for _, k := range p.known {
		if !p.isLive(k, now) && k.maySurvive(now) {
			count++
		}
	}
	return count
}

// maySurvive reports whether an instance that is not heard of may be live.
func (k *peer) maySurvive(now time.Time) bool {
	if k.report == nil {
		return now.Sub(k.listedAt) <= listedLifetime
	}
	return !k.report.Stopping && now.Sub(k.heardAt) <= silentLifetime
}

// updateStart records when the process of an instance started, from the first report of that process that tells its uptime.
func (k *peer) updateStart(r *Report, now time.Time) {
	if k.report == nil || k.report.Start != r.Start || k.since.IsZero() {
		k.since = time.Time{}
		if r.Uptime > 0 {
			k.since = now.Add(-r.Uptime)
		}
	}
}
