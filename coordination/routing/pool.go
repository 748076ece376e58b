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

// pool is an entry and the endpoints that this instance uses for it.
type pool struct {
	entry           *catalogue.Entry
	endpoints       []*endpointState
	running         int       // runs in progress, at whatever endpoint
	backlogged      bool      // a request found no room in the latest round of Admit; those that limits delay don't count
	typicalMemory   int       // moving average of the KV memory of a request, in tokens
	fullRound       uint64    // round of Admit in which no further requests of the entry are tried
	missRound       uint64    // round of Admit that misses refers to
	misses          int       // requests that found no endpoint in missRound
	speedChecked    time.Time // when ejectSlow last ran
	latenessChecked time.Time // when refuseLate last ran
	started         bool      // a request has started since asksAhead last ran
	nextAsked       int       // index of the endpoint that is asked for permits first

	typicalTokenTime time.Duration // per prompt token, of endpoints that have not processed a prompt yet

	backlogStarts  float64   // decayed number of starts while the pool was backlogged
	backlogSeconds float64   // decayed time during which the pool was backlogged
	rateUpdated    time.Time // when updateStartRate last ran
}

// recordMiss records a request that found no endpoint; after maximumMisses the other flows wait for the next round. A request that needs a version
// says nothing of the other ones.
func (p *pool) recordMiss(r *Request, round uint64) {
	if p.missRound != round {
		p.missRound, p.misses = round, 0
	}
	if r.spec.Version != "" {
		return
	}
	if p.misses++; p.misses >= maximumMisses {
		p.fullRound = round
	}
}

// updateStartRate adds the time since the last update to the observed start rate and decays earlier observations, if the pool is
// backlogged.
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

// Subset returns the endpoints that the instance at an address uses if its router has the default subset size.
func Subset(self netip.AddrPort, dataCentre string, endpoints []catalogue.Endpoint) []catalogue.Endpoint {
	return subset(self, dataCentre, endpoints, defaultSubsetSize)
}

// subset returns the endpoints that an instance uses: those chosen among the ones that take work, and the leaving ones that would be chosen if they
// took work, since this instance may have runs there. When a whole data centre takes no work any more, the instance so uses others in its place. Of each
// version there are some, since a stream can go on only at the version that began it.
func subset(self netip.AddrPort, dataCentre string, endpoints []catalogue.Endpoint, size int) []catalogue.Endpoint {
	if len(endpoints) <= size {
		return endpoints
	}
	working := slices.DeleteFunc(slices.Clone(endpoints), func(e catalogue.Endpoint) bool { return e.Leaving })
	chosen := withEachVersion(choose(self, dataCentre, working, size), self, dataCentre, working)
	if len(working) == len(endpoints) {
		return chosen
	}
	for _, e := range choose(self, dataCentre, endpoints, size) {
		if e.Leaving {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// choose returns so many endpoints: up to three quarters from the instance's own data centre, the rest from any. The order is a hash of the endpoint's
// and the instance's addresses, so that instances use different endpoints.
func choose(self netip.AddrPort, dataCentre string, endpoints []catalogue.Endpoint, size int) []catalogue.Endpoint {
	type rankedEndpoint struct {
		endpoint catalogue.Endpoint
		remote   bool
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
	localLimit := size * 3 / 4
	for _, r := range all {
		if !r.remote && len(chosen) < localLimit {
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
