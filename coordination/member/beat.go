package member

import (
	"net/netip"
	"time"
)

// MethodHeartbeat is the method that peers serve for each other's heartbeats.
const MethodHeartbeat = "member.heartbeat"

// Heartbeat is both the request and its answer; Position says how far the sender's catalogue is.
type Heartbeat struct {
	State    State    `json:"state"`
	Life     uint64   `json:"life"`
	Position Position `json:"position"`
	News     []News   `json:"news,omitempty"`
}

// Position is a catalogue's offset and digest; equal offsets with unequal digests show unequal rules.
type Position struct {
	Offset uint64 `json:"offset"`
	Digest string `json:"digest"`
}

// Beat returns the heartbeat for a peer and the number to confirm once the peer has it.
func (m *Members) Beat(to netip.AddrPort, position Position) (Heartbeat, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	news, through := m.pending(to)
	state := StateLive
	if m.draining {
		state = StateLeaving
	}
	return Heartbeat{State: state, Life: m.life, Position: position, News: news}, through
}

// Confirm notes that the peer has the news through the number.
func (m *Members) Confirm(to netip.AddrPort, through uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.peers[to]; ok && through > m.sent[to] {
		m.sent[to] = through
	}
}

// Heard takes a peer's heartbeat or its answer to ours.
func (m *Members) Heard(now time.Time, from netip.AddrPort, beat Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.peers[from]; ok {
		p.heardAt = now
		p.life = max(p.life, beat.Life)
		p.suspectedAt = time.Time{}
		if p.removed && p.returnAt.IsZero() {
			// It learns from this that others have removed it, and refutes.
			m.tell(News{Kind: NewsSuspected, Address: from, Life: p.life})
		}
		m.mayReturn(now, p)
	}
	if beat.State == StateLeaving {
		m.depart(now, from)
	}
	for i, n := range beat.News {
		if i == MaximumNews {
			break
		}
		m.learn(now, n)
	}
	m.show()
}
