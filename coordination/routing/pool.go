package routing

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwooddyke/state/catalogue"
)

// pool is an entry with the endpoints that this instance uses for it.
type pool struct {
	entry           *catalogue.Entry
	endpoints       []*endpointState
	backlogged      bool   // a request waited for room, not for a limit, at the latest round
	typicalMemory   int    // tokens of memory of a usual request
	fullRound       uint64 // round in which no more heads of lines are tried
	missRound       uint64 // round that misses counts for
	misses          int
	speedChecked    time.Time
	latenessChecked time.Time // for queued requests that can't start in time

	backlogStarts  float64 // decayed count of starts while requests waited
	backlogSeconds float64 // decayed seconds in which requests waited
	rateUpdated    time.Time
}

// missed notes a head of a line that fitted nowhere; after a few of them the rest waits for the next round.
func (p *pool) recordMiss(round uint64) {
	if p.missRound != round {
		p.missRound, p.misses = round, 0
	}
	if p.misses++; p.misses >= maximumMisses {
		p.fullRound = round
	}
}

// count brings the observed rate of starts up to date.
func (p *pool) updateStartRate(now time.Time) {
	passed := now.Sub(p.rateUpdated).Seconds()
	if p.rateUpdated.IsZero() || passed <= 0 {
		p.rateUpdated = now
		return
	}
	p.rateUpdated = now
	if !p.backlogged {
		return
	}
	decay := math.Exp(-passed / startRateSeconds)
	p.backlogStarts *= decay
	p.backlogSeconds = p.backlogSeconds*decay + startRateSeconds*(1-decay)
}

// subset picks the endpoints that the instance works with: those of its own data centre first, in an order of its own.
func subset(self netip.AddrPort, dataCentre string, endpoints []catalogue.Endpoint, size int) []catalogue.Endpoint {
	if len(endpoints) <= size {
		return endpoints
	}
	type rankedEndpoint struct {
		endpoint catalogue.Endpoint
		far      bool
		rank     uint64
	}
	selfBytes, _ := self.MarshalBinary()
	all := make([]rankedEndpoint, 0, len(endpoints))
	for _, e := range endpoints {
		addressBytes, _ := e.Address.MarshalBinary()
		all = append(all, rankedEndpoint{e, e.DataCentre != dataCentre, xxhash.Sum64(append(addressBytes, selfBytes...))})
	}
	slices.SortFunc(all, func(a, b rankedEndpoint) int { return cmp.Compare(a.rank, b.rank) })
	chosen := make([]catalogue.Endpoint, 0, size)
	nearLimit := size * 3 / 4
	for _, r := range all {
		if !r.far && len(chosen) < nearLimit {
			chosen = append(chosen, r.endpoint)
		}
	}
	for _, r := range all {
		if len(chosen) < size && !slices.ContainsFunc(chosen, func(e catalogue.Endpoint) bool { return e.Address == r.endpoint.Address }) {
			chosen = append(chosen, r.endpoint)
		}
	}
	return chosen
}
