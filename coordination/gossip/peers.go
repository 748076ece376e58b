package gossip

import (
	"net/netip"
	"time"
)

// Peers is what an instance knows of the others; one caller at a time, who passes the time in.
type Peers struct {
	self  netip.AddrPort
	known map[netip.AddrPort]*peer
}

type peer struct {
	report *Report
	uses   map[netip.AddrPort]Use
	heard  time.Time // zero: named by the log only
	named  time.Time
}

// NewPeers returns a table without others.
func NewPeers(self netip.AddrPort) *Peers {
	return &Peers{self: self, known: make(map[netip.AddrPort]*peer)}
}

// Add adds an instance that was named elsewhere.
func (p *Peers) Add(address netip.AddrPort, now time.Time) {
	if address == p.self || !address.IsValid() || len(p.known) >= maximumPeers {
		return
	}
	if k := p.known[address]; k != nil {
		k.named = now
		return
	}
	p.known[address] = &peer{named: now}
}

// NewlySampled gives the uses of a report whose speeds were observed anew since the latest report of the instance.
func (p *Peers) NewlySampled(r *Report) []Use {
	var former map[netip.AddrPort]Use
	if k := p.known[r.From]; k != nil && k.report != nil && k.report.Start == r.Start {
		former = k.uses
	}
	var fresh []Use
	for _, u := range r.Uses {
		if u.Samples > former[u.Endpoint].Samples && u.Interval > 0 {
			fresh = append(fresh, u)
		}
	}
	return fresh
}

// Apply takes in a report unless a newer one of the instance is known, and tells whether it did.
func (p *Peers) Apply(r *Report, now time.Time) bool {
	if r.From == p.self {
		return false
	}
	k := p.known[r.From]
	if k == nil {
		if len(p.known) >= maximumPeers {
			return false
		}
		k = &peer{}
		p.known[r.From] = k
	}
	if f := k.report; f != nil && (r.Start < f.Start || r.Start == f.Start && r.Sequence <= f.Sequence) {
		return false
	}
	k.merge(r)
	k.report, k.heard = r, now
	return true
}

// merge takes in the uses of a newer report.
func (k *peer) merge(r *Report) {
	if !r.Partial || k.report == nil || k.report.Start != r.Start {
		k.uses = make(map[netip.AddrPort]Use, len(r.Uses))
	}
	for _, u := range r.Uses {
		if u.none() {
			delete(k.uses, u.Endpoint)
			continue
		}
		if len(k.uses) < maximumReported {
			k.uses[u.Endpoint] = u
		}
	}
}

// live tells whether an instance counts as running.
func (p *Peers) live(k *peer, now time.Time) bool {
	return k.report != nil && now.Sub(k.heard) <= p.expiry()
}

// expiry is the time after which an instance that is not heard from has nothing in progress.
func (p *Peers) expiry() time.Duration {
	return max(leastExpiry, missedReports*p.ReportInterval())
}

// LiveCount counts the other instances that were heard from lately.
func (p *Peers) LiveCount(now time.Time) int {
	count := 0
	for _, k := range p.known {
		if p.live(k, now) {
			count++
		}
	}
	return count
}

// TotalUses adds up what the other live instances have at each endpoint.
func (p *Peers) TotalUses(now time.Time) map[netip.AddrPort]Use {
	sums := make(map[netip.AddrPort]Use)
	for _, k := range p.known {
		if !p.live(k, now) {
			continue
		}
		for _, u := range k.uses {
			s := sums[u.Endpoint]
			s.Running += u.Running
			s.Memory += u.Memory
			s.Prompts += u.Prompts
			sums[u.Endpoint] = s
		}
	}
	return sums
}

// UsesAt returns the uses of one endpoint by the other live instances.
func (p *Peers) UsesAt(endpoint netip.AddrPort, now time.Time) map[netip.AddrPort]Use {
	uses := make(map[netip.AddrPort]Use)
	for a, k := range p.known {
		if !p.live(k, now) {
			continue
		}
		if u := k.uses[endpoint]; u.Held > 0 {
			uses[a] = u
		}
	}
	return uses
}

// NewestCatalogue returns the live instance with the newest catalogue.
func (p *Peers) NewestCatalogue(now time.Time) (netip.AddrPort, int64) {
	var best netip.AddrPort
	version := int64(0)
	for a, k := range p.known {
		if p.live(k, now) && k.report.Catalogue > version {
			best, version = a, k.report.Catalogue
		}
	}
	return best, version
}

// ReportInterval is the time between two reports to all others: longer in a large fleet, so that an instance's cost does not grow.
func (p *Peers) ReportInterval() time.Duration {
	return max(leastInterval, time.Duration(float64(len(p.known))/reportsPerSec*float64(time.Second)))
}
