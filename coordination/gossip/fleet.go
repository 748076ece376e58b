package gossip

import (
	"net/netip"
	"time"
)

// What all instances together may use of something is divided by the number of live instances. An instance that has just started, or that is
// cut off, receives reports from few others or from none, and must not take itself for the whole fleet.

// Settled returns the other live instances that have run for the settle time. All instances agree on these but for moments: an instance
// that starts is not settled before it has received the reports of the others, and they its own.
func (p *Peers) Settled(now time.Time) []netip.AddrPort {
	var settled []netip.AddrPort
	for a, k := range p.known {
		if p.isLive(k, now) && !k.since.IsZero() && now.Sub(k.since) >= p.SettleTime() {
			settled = append(settled, a)
		}
	}
	return settled
}

// Live returns the other live instances.
func (p *Peers) Live(now time.Time) []netip.AddrPort {
	var live []netip.AddrPort
	for a, k := range p.known {
		if p.isLive(k, now) {
			live = append(live, a)
		}
	}
	return live
}

// IsNewcomer reports whether the sender's process has just started: the latest report is the first one of it that was received.
func (p *Peers) IsNewcomer(r *Report) bool {
	k := p.known[r.From]
	return k != nil && k.report == r && k.newcomer && r.Uptime > 0 && r.Uptime < p.SettleTime()
}

// SettleTime returns the time from the start of a process until it is settled, in which it receives a report from each live instance that it
// can reach.
func (p *Peers) SettleTime() time.Duration { return p.expiry() }

// SilentCount returns the number of instances that do not count as live but may run without their reports arriving, because they or this
// instance are cut off or frozen. An instance that has said that it ends does not count.
func (p *Peers) SilentCount(now time.Time) int {
	count := 0
	for _, k := range p.known {
		if !p.isLive(k, now) && k.mayRun(now) {
			count++
		}
	}
	return count
}

// mayRun reports whether an instance whose reports do not arrive may run.
func (k *peer) mayRun(now time.Time) bool {
	if k.report == nil {
		return now.Sub(k.listedAt) <= listedLifetime
	}
	return !k.report.Stopping && now.Sub(k.heardAt) <= silentLifetime
}

// updateStart records when the process of an instance started, from the first report of that process that has its uptime.
func (k *peer) updateStart(r *Report, now time.Time) {
	if k.report == nil || k.report.Start != r.Start || k.since.IsZero() {
		k.since = time.Time{}
		if r.Uptime > 0 {
			k.since = now.Add(-r.Uptime)
		}
	}
}
