package member

import (
	"net/netip"
	"time"
)

// Tick moves suspicions and returns on and returns the neighbours that want a heartbeat.
func (m *Members) Tick(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	paused := !m.tickedAt.IsZero() && now.Sub(m.tickedAt) > PauseAfter
	m.tickedAt = now
	neighbours := m.chooseNeighbours(now, paused)
	isolated := m.isolated(now)
	for a, p := range m.peers {
		since, watching := m.watched[a]
		silent := watching && now.Sub(latest(since, p.heardAt)) > SuspectAfter
		switch {
		case paused:
			p.suspectedAt = time.Time{}
		case silent && p.removed:
			p.returnAt = time.Time{}
		case silent && !isolated:
			m.suspect(now, p)
		}
		m.settle(now, p)
	}
	m.show()
	return neighbours
}

// settle ends a suspicion or a hold whose time has come; mu is held.
func (m *Members) settle(now time.Time, p *peer) {
	if !p.suspectedAt.IsZero() && now.Sub(p.suspectedAt) >= HoldDown {
		if p.heardAt.Before(p.suspectedAt) {
			m.remove(now, p)
		} else {
			p.suspectedAt = time.Time{}
		}
	}
	if p.removed && p.listed && !p.returnAt.IsZero() && !now.Before(p.returnAt) {
		p.removed = false
		p.returnAt = time.Time{}
	}
}

// chooseNeighbours takes the next member on the ring, so that each is watched by one at least, and the first by rendezvous; mu is held.
func (m *Members) chooseNeighbours(now time.Time, paused bool) []netip.AddrPort {
	others := make([]netip.AddrPort, 0, len(m.peers))
	for a, p := range m.peers {
		if _, leaving := m.departures[a]; p.listed && !leaving {
			others = append(others, a)
		}
	}
	neighbours := Subset(m.self.String(), others, Neighbours)
	if next := successor(m.self, others); len(neighbours) == Neighbours && !contains(neighbours, next) {
		neighbours[Neighbours-1] = next
	}
	watched := make(map[netip.AddrPort]time.Time, len(neighbours))
	for _, a := range neighbours {
		since, ok := m.watched[a]
		if !ok || paused {
			since = now
		}
		watched[a] = since
	}
	m.watched = watched
	return neighbours
}

// isolated tells whether this instance hears so few neighbours that the fault is more likely its own; mu is held.
func (m *Members) isolated(now time.Time) bool {
	heard := 0
	for a, since := range m.watched {
		if now.Sub(latest(since, m.peers[a].heardAt)) <= SuspectAfter {
			heard++
		}
	}
	return len(m.watched) >= Neighbours && 2*heard < len(m.watched)
}

// successor returns the member whose hash follows that of self on the ring.
func successor(self netip.AddrPort, others []netip.AddrPort) netip.AddrPort {
	const ring = 0
	own := score(ring, self)
	var best netip.AddrPort
	var bestGap uint64
	for _, a := range others {
		gap := score(ring, a) - own
		if !best.IsValid() || gap < bestGap {
			best, bestGap = a, gap
		}
	}
	return best
}

func contains(all []netip.AddrPort, one netip.AddrPort) bool {
	for _, a := range all {
		if a == one {
			return true
		}
	}
	return false
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
