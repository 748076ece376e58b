package gossip

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IsReader tells whether this instance is one of the few that read the list of endpoints for all. It answers the load pattern of a
// large fleet that polls one log: the calls would grow with the fleet. The readers are those that come first by a hash of their
// address among the instances that have lately read; one that the log turns away is replaced as soon as its reports say so.
func (p *Peers) IsReader(now time.Time) bool {
	return p.among(now, fresh)
}

// ShouldProbe tells whether this instance should ask often for a log that it has lost. It answers the load pattern of an outage of the log
// for a large fleet: nobody has read it lately, so all would become readers and ask, for nothing; a few do it for all. Where others
// read it, only this instance has lost it.
func (p *Peers) ShouldProbe(now time.Time) bool {
	for _, k := range p.known {
		if p.live(k, now) && fresh(k.report) {
			return true
		}
	}
	return p.among(now, func(*Report) bool { return true })
}

func fresh(r *Report) bool { return r.ReadAge >= 0 && r.ReadAge <= readFresh }

// among tells whether this instance comes among the first by a hash of its address, of those whose reports count.
func (p *Peers) among(now time.Time, counts func(r *Report) bool) bool {
	before := 0
	mine := rank(p.self)
	for a, k := range p.known {
		if p.live(k, now) && counts(k.report) && rank(a) < mine {
			before++
		}
	}
	return before < readers
}

// ReaderCount gives the number of instances, this one included, that share the reading.
func (p *Peers) ReaderCount(now time.Time) int { return min(p.LiveCount(now)+1, readers) }

// LatestOffset gives the offset of the newest change of an endpoint that any other instance knows.
func (p *Peers) LatestOffset(now time.Time) int64 {
	latest := int64(0)
	for _, k := range p.known {
		if p.live(k, now) {
			latest = max(latest, k.report.LatestOffset)
		}
	}
	return latest
}

func rank(address netip.AddrPort) uint64 {
	raw, err := address.MarshalBinary()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}
