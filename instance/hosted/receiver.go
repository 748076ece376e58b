package hosted

import (
	"net/netip"
	"time"

	"dogwooddyke/coordination/gossip"
)

// receiveReports handles the messages of other instances until the socket is closed.
func (g *gossiper) receiveReports() {
	g.socket.Receive(func(message []byte) {
		if len(message) == 0 {
			return
		}
		body := message[1:]
		switch message[0] {
		case messageBundle, messageRemoteBundle:
			g.receiveBundle(body, message[0] == messageRemoteBundle)
		case messageAsk:
			g.instance.quotas.ReceiveAsk(body, time.Now())
		case messageGrant:
			g.instance.quotas.ReceiveGrant(body, time.Now())
		case messageTrialAsk:
			g.instance.quarantine.ReceiveAsk(body, time.Now())
		case messageTrialGrant:
			g.instance.quarantine.ReceiveGrant(body)
		case messageComparison:
			g.instance.quarantine.ReceiveComparison(body, time.Now())
		case messageNews:
			g.instance.quarantine.ReceiveNews(body, time.Now())
		case messageBeginnings:
			g.instance.resumption.ReceiveBeginnings(body, time.Now())
		case messageStreamQuestion:
			g.instance.resumption.ReceiveQuestion(body, time.Now())
		case messageStreamAnswer:
			g.instance.resumption.ReceiveAnswer(body)
		default:
			g.receiveReport(body, message[0])
		}
	})
}

// receiveReport applies a report, and forwards it as the type of its message asks for.
func (g *gossiper) receiveReport(report []byte, message byte) {
	r, fresh := g.apply(report)
	if !fresh {
		return
	}
	g.instance.updateShares(time.Now())
	switch message {
	case messageForward:
		g.forward(r.From, report)
	case messageCollect:
		g.forwardLater(r, report, false)
	}
}

// apply applies an encoded report, and returns whether it was newer than what is known of its sender, and the report without the changes
// of endpoints that this instance knew already. The changes of a report that another one has overtaken count as well: they go by their
// position in the log.
func (g *gossiper) apply(report []byte) (*gossip.Report, bool) {
	r, err := gossip.Decode(report)
	if err != nil {
		g.instance.observer.recordUnreadable("report", err)
		return nil, false
	}
	g.mutex.Lock()
	now := time.Now()
	sampled := g.peers.NewlySampled(r)
	fresh := g.peers.Apply(r, now)
	newcomer := fresh && g.peers.IsNewcomer(r)
	g.mutex.Unlock()
	if newcomer {
		g.sendRateLimits(r.From, now)
		g.instance.resumption.Welcome(r.From, now)
	}
	r.Updates = g.instance.applyUpdates(r)
	g.instance.quotas.Receive(r.RateLimits, r.From, now)
	g.instance.standings.Receive(r.Standings, r.From.String(), now)
	g.instance.quarantine.Receive(r.Crashes, now)
	g.instance.receiveEvacuations(r.Evacuations, r.From.String())
	if !fresh {
		return r, false
	}
	for _, u := range sampled {
		g.instance.router.ObservePeerInterval(u.Endpoint, u.Interval, now)
		g.instance.router.ObservePeerPrefill(u.Endpoint, u.TokenTime)
	}
	g.instance.recordPeerRead(r, now)
	return r, true
}

// forward sends a report from another data centre to the other instances of this one.
func (g *gossiper) forward(from netip.AddrPort, report []byte) {
	g.mutex.Lock()
	addresses := g.peers.LivePeersIn(g.instance.settings.DataCentre, time.Now())
	g.mutex.Unlock()
	for _, a := range addresses {
		if a != from {
			g.send(a, messageReport, report)
		}
	}
}
