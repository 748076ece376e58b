package member

import (
	"net/netip"
	"time"
)

// List takes one read of the platform's list and tells whether it lacks members, so that it has to be read again before that counts.
func (m *Members) List(now time.Time, rows []Row) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	listed := make(map[netip.AddrPort]bool, len(rows))
	for _, r := range rows {
		listed[r.Address] = true
		if r.State == StateLeaving {
			m.depart(now, r.Address)
			continue
		}
		m.contradict(now, r.Address, LeavingMemory)
		if r.Kind == KindInstance && r.Address != m.self {
			m.add(now, r)
		}
	}
	lacking := m.absent(now, listed)
	m.show()
	return lacking
}

// add takes a listed instance; the row came from this instance's read or a peer's.
func (m *Members) add(now time.Time, r Row) {
	p, ok := m.peers[r.Address]
	if !ok {
		if len(m.peers) >= MaximumMembers {
			return
		}
		m.peers[r.Address] = &peer{row: r, listed: true}
		m.tell(News{Kind: NewsJoined, Address: r.Address, DataCentre: r.DataCentre})
		return
	}
	p.row = r
	p.absences = 0
	if !p.listed {
		p.listed = true
		m.mayReturn(now, p)
	}
}

// absent counts the lists without a member and drops what has been gone for long.
func (m *Members) absent(now time.Time, listed map[netip.AddrPort]bool) bool {
	lacking := false
	for a, p := range m.peers {
		switch {
		case listed[a]:
			continue
		case p.listed:
			p.absences++
			lacking = true
			if p.absences >= absencesToRemove {
				p.listed = false
				m.remove(now, p)
			}
		case now.Sub(p.removedAt) > FlapForgetting:
			delete(m.peers, a)
			delete(m.sent, a)
		}
	}
	for a, at := range m.departures {
		if !listed[a] && a != m.self && now.Sub(at) > LeavingMemory {
			delete(m.departures, a)
		}
	}
	return lacking
}
