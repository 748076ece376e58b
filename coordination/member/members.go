package member

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// LeavingSource is another place that says which endpoints are leaving, such as the catalogue.
type LeavingSource interface {
	Leaving(address netip.AddrPort) bool
}

// Members is the table of instances and of what is leaving; time is passed in, reads of the live set take no lock.
type Members struct {
	self   netip.AddrPort
	source LeavingSource

	mu         sync.Mutex // guards all below; taken before nothing else
	peers      map[netip.AddrPort]*peer
	departures map[netip.AddrPort]time.Time // when an address was last said to be leaving
	watched    map[netip.AddrPort]time.Time // neighbours and since when they are
	news       []item
	sequence   uint64
	sent       map[netip.AddrPort]uint64 // last item that each neighbour has
	life       uint64
	draining   bool
	tickedAt   time.Time
	moves      uint64

	view atomic.Pointer[view]
	wake chan struct{}
}

// view is what readers see.
type view struct {
	live    []netip.AddrPort
	leaving map[netip.AddrPort]bool
}

// peer is one instance as this one knows it.
type peer struct {
	row         Row
	listed      bool
	absences    int
	life        uint64
	heardAt     time.Time // last direct evidence of life
	suspectedAt time.Time // zero: not suspected
	removed     bool
	removals    int
	removedAt   time.Time
	returnAt    time.Time // zero: no evidence of life since the removal
}

// New returns a table that knows only this instance; source may be nil.
func New(self netip.AddrPort, source LeavingSource) *Members {
	m := &Members{
		self:       self,
		source:     source,
		peers:      map[netip.AddrPort]*peer{},
		departures: map[netip.AddrPort]time.Time{},
		watched:    map[netip.AddrPort]time.Time{},
		sent:       map[netip.AddrPort]uint64{},
		wake:       make(chan struct{}, 1),
	}
	m.view.Store(&view{live: []netip.AddrPort{self}})
	return m
}

// Self returns this instance's peer address.
func (m *Members) Self() netip.AddrPort { return m.self }

// Live returns the instances that share work, this one included unless it drains; callers must not change it.
func (m *Members) Live() []netip.AddrPort { return m.view.Load().live }

// Steward returns the live instance that is first for the key.
func (m *Members) Steward(key string) netip.AddrPort {
	return Rendezvous(key, m.Live())
}

// Leaving tells whether any source says that the instance or endpoint is leaving.
func (m *Members) Leaving(address netip.AddrPort) bool {
	if m.view.Load().leaving[address] {
		return true
	}
	return m.source != nil && m.source.Leaving(address)
}

// Moves returns how many times a member came or went, for metrics.
func (m *Members) Moves() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.moves
}

// Drain says to all that this instance is leaving.
func (m *Members) Drain(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
	m.depart(now, m.self)
	m.show()
}

// show makes what readers see; mu is held.
func (m *Members) show() {
	next := &view{leaving: make(map[netip.AddrPort]bool, len(m.departures))}
	for a := range m.departures {
		next.leaving[a] = true
	}
	if !m.draining {
		next.live = append(next.live, m.self)
	}
	for a, p := range m.peers {
		if p.listed && !p.removed && !next.leaving[a] {
			next.live = append(next.live, a)
		}
	}
	slices.SortFunc(next.live, netip.AddrPort.Compare)
	if before := m.view.Load(); !slices.Equal(before.live, next.live) {
		m.moves++
	}
	m.view.Store(next)
}
