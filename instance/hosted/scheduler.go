package hosted

import (
	"net/netip"
	"sync"
	"time"

	"dogwooddyke/coordination/handover"
	"dogwooddyke/protocol/relay"
)

// moveScheduler tracks this instance's runs at each endpoint and decides when each is copied off a leaving one; it is safe for
// concurrent use.
type moveScheduler struct {
	self         netip.AddrPort
	participants func(endpoint netip.AddrPort) []handover.Participant
	largeFleet   func() bool // reports whether the other instances report their runs only when an endpoint leaves
	mutex        sync.Mutex
	runs         map[netip.AddrPort]map[string]func() int // functions that return the tokens that a run holds, by endpoint and run ID
	onRunLeft    func(endpoint netip.AddrPort)            // called when a run has left a leaving endpoint
}

func newMoveScheduler(g *gossiper) *moveScheduler {
	return &moveScheduler{
		self:         g.self,
		participants: g.participants,
		largeFleet:   g.isFleetLarge,
		onRunLeft:    g.reportUse,
		runs:         make(map[netip.AddrPort]map[string]func() int),
	}
}

// Register adds a run with a function that returns the tokens that it holds. The returned function removes the run, and calls onRunLeft
// if the run's endpoint is leaving.
func (s *moveScheduler) Register(at relay.Endpoint, id string, heldTokens func() int) (unregister func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runs[at.Address] == nil {
		s.runs[at.Address] = make(map[string]func() int)
	}
	s.runs[at.Address][id] = heldTokens
	return func() {
		if s.remove(at.Address, id) && at.Leaving() {
			s.onRunLeft(at.Address)
		}
	}
}

// remove removes a run and reports whether it was registered.
func (s *moveScheduler) remove(address netip.AddrPort, id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, registered := s.runs[address][id]; !registered {
		return false
	}
	delete(s.runs[address], id)
	if len(s.runs[address]) == 0 {
		delete(s.runs, address)
	}
	return true
}

// Plan returns when a run should be copied off its endpoint, and whether it may be copied to another data centre.
func (s *moveScheduler) Plan(r *relay.Request, from relay.Endpoint, noticed, latest time.Time) handover.Plan {
	link := handover.Link{TokenBytes: r.Engine.TokenBytes, BitsPerSecond: r.Engine.LinkBits, Slowdown: remoteCopySlowdown}
	own, before := s.ownTokens(from.Address, r.ID)
	return handover.Schedule(s.self, own, before, s.participants(from.Address), from.ID, link, noticed, latest)
}

// SettleTime returns the time after a notice in which the other instances' reports arrive. In a small fleet their latest reports are recent
// enough.
func (s *moveScheduler) SettleTime() time.Duration {
	if s.largeFleet() {
		return noticeSettleTime
	}
	return 0
}

// Ready reports whether all runs that are moved before this one have left its endpoint.
func (s *moveScheduler) Ready(r *relay.Request, from relay.Endpoint) bool {
	_, before := s.ownTokens(from.Address, r.ID)
	return before == 0 && handover.TokensBefore(s.self, s.participants(from.Address), from.ID) == 0
}

// heldTokens returns the tokens that this instance's runs hold, by endpoint.
func (s *moveScheduler) heldTokens() map[netip.AddrPort]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sums := make(map[netip.AddrPort]int, len(s.runs))
	for address, runs := range s.runs {
		for _, heldTokens := range runs {
			sums[address] += heldTokens()
		}
	}
	return sums
}

// ownTokens returns the tokens that this instance's runs hold at an endpoint, and those of its runs that are moved before the given one.
func (s *moveScheduler) ownTokens(address netip.AddrPort, id string) (all, before int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	runs := make([]handover.Run, 0, len(s.runs[address]))
	for runID, heldTokens := range s.runs[address] {
		runs = append(runs, handover.Run{ID: runID, Memory: heldTokens()})
	}
	handover.SortRuns(runs)
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
