package hosted

import (
	"net/netip"
	"time"

	"dogwooddyke/coordination/gossip"
	"dogwooddyke/coordination/handover"
	"dogwooddyke/state/position"
)

// readerInterval returns the longest time between two reports of an instance that reads the endpoint list for all.
func (g *gossiper) readerInterval() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.peers.ReaderInterval()
}

// isFleetLarge reports whether reports travel in bundles.
func (g *gossiper) isFleetLarge() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.peers.Bundling(time.Now())
}

// peerUses returns the sums of what the other instances have in progress at the given endpoints, in the same order.
func (g *gossiper) peerUses(endpoints []netip.AddrPort, now time.Time) []gossip.Use {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	totals := g.peers.TotalUses(now)
	uses := make([]gossip.Use, len(endpoints))
	for n, a := range endpoints {
		uses[n] = totals[a]
	}
	return uses
}

// readerStatus reports whether this instance reads the endpoint list from the log, and returns the number of instances that do.
func (g *gossiper) readerStatus(now time.Time) (bool, int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.peers.IsReader(now), g.peers.ReaderCount(now)
}

// isChecker reports whether this instance looks for changes of the catalogue that waiting reads of the log miss.
func (g *gossiper) isChecker(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.peers.IsChecker(now)
}

// shouldProbe reports whether this instance is one of those that retry a lost log often.
func (g *gossiper) shouldProbe(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.peers.ShouldProbe(now)
}

// latest returns the log position of the newest change of an endpoint that other instances know.
func (g *gossiper) latest(now time.Time) position.Position {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.peers.Latest(now)
}

// newestCatalogue returns the other instance with the newest catalogue, and that version.
func (g *gossiper) newestCatalogue(now time.Time) (netip.AddrPort, int64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.peers.NewestCatalogue(now)
}

// participants returns the other instances whose runs hold KV memory at an endpoint.
func (g *gossiper) participants(endpoint netip.AddrPort) []handover.Participant {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var participants []handover.Participant
	for a, u := range g.peers.UsesAt(endpoint, time.Now()) {
		participants = append(participants, handover.Participant{Instance: a, Memory: u.Held})
	}
	return participants
}

// addPeers adds the instances that are registered in the log.
func (g *gossiper) addPeers(addresses []netip.AddrPort) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, a := range addresses {
		g.peers.Add(a, now)
	}
}
