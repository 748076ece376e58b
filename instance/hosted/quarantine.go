package hosted

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"dogwooddyke/coordination/member"
	"dogwooddyke/coordination/quarantine"
)

// trialsKey is the key under which the steward of trials is chosen.
const trialsKey = "trials"

// quarantineFleet is what the quarantine needs to know of the other instances.
type quarantineFleet struct {
	gossiper *gossiper
}

// Steward returns the instance that decides about suspected parts: one of the live instances that have run for a while.
func (q quarantineFleet) Steward() (netip.AddrPort, bool) {
	settled := q.gossiper.settledInstances(time.Now())
	if len(settled) == 0 {
		return netip.AddrPort{}, false
	}
	return member.Rendezvous(trialsKey, settled), true
}

// Any returns another live instance, chosen at random, and whether there is one.
func (q quarantineFleet) Any() (netip.AddrPort, bool) {
	q.gossiper.mutex.Lock()
	defer q.gossiper.mutex.Unlock()
	live := q.gossiper.peers.Live(time.Now())
	if len(live) == 0 {
		return netip.AddrPort{}, false
	}
	return live[rand.IntN(len(live))], true
}

// SendTrialAsk sends an ask about a request to the steward.
func (g *gossiper) SendTrialAsk(to netip.AddrPort, ask []byte) { g.send(to, messageTrialAsk, ask) }

// SendTrialGrant sends the answer to an ask about a request.
func (g *gossiper) SendTrialGrant(to netip.AddrPort, grant []byte) {
	g.send(to, messageTrialGrant, grant)
}

// SendComparison sends a digest of what this instance knows of crashes.
func (g *gossiper) SendComparison(to netip.AddrPort, comparison []byte) {
	g.send(to, messageComparison, comparison)
}

// SendNews sends what this instance knows of crashes.
func (g *gossiper) SendNews(to netip.AddrPort, news []byte) { g.send(to, messageNews, news) }

// newQuarantine returns the quarantine of parts that crash endpoints.
func (i *Instance) newQuarantine() *quarantine.Exchange {
	return quarantine.NewExchange(quarantine.Config{
		Self:     i.gossiper.self,
		Fleet:    quarantineFleet{i.gossiper},
		Network:  i.gossiper,
		Observer: i.observer,
		OnNews:   i.gossiper.reportSoon,
	})
}
