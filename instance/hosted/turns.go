package hosted

import (
	"net/netip"
	"sync"
	"time"

	"dogwooddyke/coordination/evacuation"
	"dogwooddyke/protocol/relay"
)

// turns knows this instance's runs at each endpoint, and when each may be copied off one that leaves; it is safe for concurrent use.
type turns struct {
	self    netip.AddrPort
	parties func(endpoint netip.AddrPort) []evacuation.Participant
	mutex   sync.Mutex
	runs    map[netip.AddrPort]map[string]func() int // memory by the run's id
	left    func()                                   // called when a run has left an endpoint that is leaving
}

func newTurns(self netip.AddrPort, parties func(endpoint netip.AddrPort) []evacuation.Participant, left func()) *turns {
	return &turns{self: self, parties: parties, left: left, runs: make(map[netip.AddrPort]map[string]func() int)}
}

// Register notes a run; leave forgets it.
func (t *turns) Register(at relay.Endpoint, id string, memory func() int) (leave func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.runs[at.Address] == nil {
		t.runs[at.Address] = make(map[string]func() int)
	}
	t.runs[at.Address][id] = memory
	return func() {
		if t.forget(at.Address, id) && at.Leaving() {
			t.left()
		}
	}
}

// forget drops a run and tells whether it was known.
func (t *turns) forget(address netip.AddrPort, id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if _, known := t.runs[address][id]; !known {
		return false
	}
	delete(t.runs[address], id)
	if len(t.runs[address]) == 0 {
		delete(t.runs, address)
	}
	return true
}

// Plan plans when a run is copied off its endpoint.
func (t *turns) Plan(r *relay.Request, from relay.Endpoint, noticed, latest time.Time) evacuation.Plan {
	link := evacuation.Link{TokenBytes: r.Engine.TokenBytes, BitsPerSecond: r.Engine.LinkBits, Slowdown: copyDistance}
	own, before := t.own(from.Address, r.ID)
	return evacuation.Schedule(t.self, own, before, t.parties(from.Address), from.ID, link, noticed, latest)
}

// Ready tells whether all runs that go before one have left its endpoint.
func (t *turns) Ready(r *relay.Request, from relay.Endpoint) bool {
	_, before := t.own(from.Address, r.ID)
	return before == 0 && evacuation.TokensBefore(t.self, t.parties(from.Address), from.ID) == 0
}

// held gives the tokens that this instance's runs hold at each endpoint.
func (t *turns) held() map[netip.AddrPort]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	sums := make(map[netip.AddrPort]int, len(t.runs))
	for address, runs := range t.runs {
		for _, memory := range runs {
			sums[address] += memory()
		}
	}
	return sums
}

// own gives the tokens that this instance's runs hold at an endpoint, and those of the runs that go before the given one.
func (t *turns) own(address netip.AddrPort, id string) (all, before int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	runs := make([]evacuation.Run, 0, len(t.runs[address]))
	for id, memory := range t.runs[address] {
		runs = append(runs, evacuation.Run{ID: id, Memory: memory()})
	}
	evacuation.SortRuns(runs)
	found := false
	for _, r := range runs {
		found = found || r.ID == id
		if !found {
			before += r.Memory
		}
		all += r.Memory
	}
	return all, before
}
