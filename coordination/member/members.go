package member

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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
	changed    bool // since readers were last shown the table

	view atomic.Pointer[view]
	wake chan struct{}
}

// view is what readers see.
type view struct {
	live    []netip.AddrPort
	hashes  []uint64 // of live, at the same places
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
	m.view.Store((&view{live: []netip.AddrPort{self}}).hash())
	return m
}

// Self returns this instance's peer address.
func (m *Members) Self() netip.AddrPort { return m.self }

// Live returns the instances that share work, this one included unless it drains; callers must not change it.
func (m *Members) Live() []netip.AddrPort { return m.view.Load().live }

// Steward returns the live instance that is first for the key.
func (m *Members) Steward(key string) netip.AddrPort {
	return m.view.Load().steward(key)
}

// steward is Rendezvous over the live set with the members' hashes at hand.
func (v *view) steward(key string) netip.AddrPort {
	var best netip.AddrPort
	var bestScore uint64
	seed := xxhash.Sum64String(key)
	for i, h := range v.hashes {
		if s := mix(seed ^ h); s >= bestScore && outranks(s, v.live[i], bestScore, best) {
			best, bestScore = v.live[i], s
		}
	}
	return best
}

// hash fills in the hashes.
func (v *view) hash() *view {
	v.hashes = make([]uint64, 0, len(v.live))
	for _, a := range v.live {
		v.hashes = append(v.hashes, hash(a))
	}
	return v
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

// show makes what readers see, if it changed; mu is held.
func (m *Members) show() {
	if !m.changed {
		return
	}
	m.changed = false
	next := &view{leaving: make(map[netip.AddrPort]bool, len(m.departures))}
	for a := range m.departures {
		next.leaving[a] = true
	}
	if !next.leaving[m.self] {
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
	m.view.Store(next.hash())
}
