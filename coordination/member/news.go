package member

import (
	"net/netip"
	"time"
)

// NewsKind names what an item of news says of an address.
type NewsKind string

// The kinds of news.
const (
	NewsJoined    NewsKind = "joined"    // the list has it
	NewsLeaving   NewsKind = "leaving"   // a source says so
	NewsSuspected NewsKind = "suspected" // a neighbour does not hear it
	NewsAlive     NewsKind = "alive"     // it refutes the suspicion itself
)

// News is one item that heartbeats spread; Life orders suspicions and refutations of one instance.
type News struct {
	Kind       NewsKind       `json:"kind"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"dataCentre,omitempty"`
	Life       uint64         `json:"life,omitempty"`
}

type item struct {
	sequence uint64
	news     News
}

// tell queues news for the neighbours; mu is held.
func (m *Members) tell(n News) {
	m.sequence++
	m.news = append(m.news, item{sequence: m.sequence, news: n})
	if len(m.news) > maximumQueue {
		m.news = append([]item(nil), m.news[len(m.news)-maximumQueue:]...)
	}
	m.ring()
}

// pending returns the news that the peer does not have, and the last item's number; mu is held.
func (m *Members) pending(to netip.AddrPort) ([]News, uint64) {
	through := m.sent[to]
	var all []News
	for _, i := range m.news {
		if i.sequence <= through || len(all) == MaximumNews {
			continue
		}
		all = append(all, i.news)
		through = i.sequence
	}
	return all, through
}

// wakeFor starts another heartbeat if news came while the last one to the peer was under way.
func (m *Members) wakeFor(to netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.peers[to]; known && m.sent[to] < m.sequence {
		m.ring()
	}
}

// ring ends the wait for the next heartbeat.
func (m *Members) ring() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// learn takes one item of a peer's news and spreads what was not known; mu is held.
func (m *Members) learn(now time.Time, n News) {
	if n.Address == m.self {
		m.refute(n)
		return
	}
	switch n.Kind {
	case NewsJoined:
		m.add(now, Row{Address: n.Address, Kind: KindInstance, DataCentre: n.DataCentre, State: StateLive})
	case NewsLeaving:
		m.depart(now, n.Address)
	case NewsSuspected:
		if p, ok := m.peers[n.Address]; ok && n.Life >= p.life {
			p.life = n.Life
			m.suspect(now, p)
		}
	case NewsAlive:
		p, ok := m.peers[n.Address]
		if !ok || n.Life <= p.life {
			return
		}
		p.life = n.Life
		p.suspectedAt = time.Time{}
		m.mayReturn(now, p)
		m.tell(n)
	}
}

// refute answers a suspicion of this instance; mu is held.
func (m *Members) refute(n News) {
	if n.Kind != NewsSuspected || n.Life < m.life {
		return
	}
	m.life = n.Life + 1
	m.tell(News{Kind: NewsAlive, Address: m.self, Life: m.life})
}
