package gossip

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwooddyke/state/position"
)

// IsReader reports whether this instance is one of the few that read the endpoint list from the log for all others. If every instance
// of a large fleet polled the log, the calls to it would grow with the fleet. The readers are the first instances, ordered by a hash
// of their address, among those with a recent read; a reader whose reads the log refuses is replaced as soon as its reports show it.
// Instances that the log has just listed count as well, so that the instances of a fleet that starts as a whole do not all read.
func (p *Peers) IsReader(now time.Time) bool { return p.readersBefore(now) < maximumReaders }

// IsChecker reports whether this instance is one of the readers that also look for changes of the catalogue which the waiting reads of all
// instances may miss.
func (p *Peers) IsChecker(now time.Time) bool { return p.readersBefore(now) < maximumCheckers }

// readersBefore returns the number of instances that are readers rather than this one.
func (p *Peers) readersBefore(now time.Time) int {
	before := 0
	own := rank(p.self)
	for _, k := range p.known {
		mayRead := p.isLive(k, now) && hasRecentRead(k.report) || k.report == nil && now.Sub(k.listedAt) <= startGrace
		if mayRead && k.rank < own {
			before++
		}
	}
	return before
}

// ShouldProbe reports whether this instance, which has lost the log, should retry it often. During an outage of the log no instance of
// a large fleet has a recent read, so all of them would become readers and retry in vain; only a few should retry for all. If another
// instance still reads the log, only this instance has lost it and should retry.
func (p *Peers) ShouldProbe(now time.Time) bool {
	for _, k := range p.known {
		if p.isLive(k, now) && hasRecentRead(k.report) {
			return true
		}
	}
	before := 0
	own := rank(p.self)
	for _, k := range p.known {
		if p.isLive(k, now) && k.rank < own {
			before++
		}
	}
	return before < maximumReaders
}

// hasRecentRead reports whether the sender has read the endpoint list from the log recently enough to stay a reader.
func hasRecentRead(r *Report) bool { return r.ReadAge >= 0 && r.ReadAge <= maximumReadAge }

// ReaderCount returns the number of instances, this one included, that share the reading of the endpoint list.
func (p *Peers) ReaderCount(now time.Time) int { return min(p.LiveCount(now)+1, maximumReaders) }

// Latest returns the log position of the newest change of an endpoint that any other live instance knows, the zero position if none.
func (p *Peers) Latest(now time.Time) position.Position {
	var latest position.Position
	for _, k := range p.known {
		if p.isLive(k, now) {
			latest = position.Latest(latest, k.report.Latest())
		}
	}
	return latest
}

// rank returns the hash of an address by which instances are ordered.
func rank(address netip.AddrPort) uint64 {
	raw, err := address.MarshalBinary()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}
