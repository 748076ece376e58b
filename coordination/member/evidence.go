package member

import (
	"net/netip"
	"time"
)

// Seen takes an answer of the instance as evidence of its life.
func (m *Members) Seen(now time.Time, address netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[address]
	if !ok {
		return
	}
	p.heardAt = now
	p.suspectedAt = time.Time{}
	m.mayReturn(now, p)
}

// Suspect takes a request that the instance did not answer as evidence against it.
func (m *Members) Suspect(now time.Time, address netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.peers[address]; ok && now.Sub(p.heardAt) > BeatInterval && !m.isolated(now) {
		m.suspect(now, p)
	}
}

// Leave takes the word of an instance or endpoint, or of another source, that the address is leaving.
func (m *Members) Leave(now time.Time, address netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.depart(now, address)
	m.show()
}

// Ready takes the endpoint's own word that it takes work; it counts against an earlier word only after the longest lag of such words.
func (m *Members) Ready(now time.Time, address netip.AddrPort) {
	if !m.view.Load().leaving[address] {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contradict(now, address, ReadyLag)
	m.show()
}

// depart notes that the address is leaving and spreads it once; mu is held.
func (m *Members) depart(now time.Time, address netip.AddrPort) {
	_, known := m.departures[address]
	if !known && len(m.departures) >= MaximumEndpoints {
		return
	}
	m.departures[address] = now
	if !known {
		m.tell(News{Kind: NewsLeaving, Address: address})
	}
}

// contradict forgets that the address is leaving if that is older than the given age; mu is held.
func (m *Members) contradict(now time.Time, address netip.AddrPort, age time.Duration) {
	at, ok := m.departures[address]
	if ok && address != m.self && now.Sub(at) >= age {
		delete(m.departures, address)
	}
}

// suspect starts a suspicion, which others can refute; mu is held.
func (m *Members) suspect(now time.Time, p *peer) {
	if !p.suspectedAt.IsZero() || p.removed {
		return
	}
	p.suspectedAt = now
	m.tell(News{Kind: NewsSuspected, Address: p.row.Address, Life: p.life})
}

// remove takes the member out of the live set; mu is held.
func (m *Members) remove(now time.Time, p *peer) {
	p.suspectedAt = time.Time{}
	p.returnAt = time.Time{}
	if p.removed {
		return
	}
	if now.Sub(p.removedAt) > FlapForgetting {
		p.removals = 0
	}
	p.removed = true
	p.removals++
	p.removedAt = now
}

// mayReturn sets when a removed member counts again: later after each removal; mu is held.
func (m *Members) mayReturn(now time.Time, p *peer) {
	if !p.removed || !p.returnAt.IsZero() {
		return
	}
	hold := HoldUp
	for range p.removals - 1 {
		hold = min(2*hold, MaximumHoldUp)
	}
	p.returnAt = now.Add(hold)
}
