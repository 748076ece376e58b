package hosted

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dogwooddyke/coordination/gossip"
	"dogwooddyke/internal/wait"
	"dogwooddyke/platform"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/roster"
	"dogwooddyke/transport/datagram"
)

// gossiper reports to the other instances what this one has in progress, and applies their reports.
//
// Lock order: mutex is locked before the mutexes of the quota exchange, the standings, the quarantine, the roster, the router and the sharers; it is not held while a report is sent.
type gossiper struct {
	instance  *Instance
	socket    *datagram.Socket
	self      netip.AddrPort
	start     int64         // start of this process, in Unix nanoseconds
	startedAt time.Time     // the same by the steady clock
	ending    atomic.Bool   // whether the next report is the last one
	wake      chan struct{} // receives requests to send the next report before the interval ends

	mutex          sync.Mutex
	peers          *gossip.Peers
	deltas         *gossip.DeltaTracker
	sequence       uint64
	pendingUpdates []pendingUpdate
	urgent         []netip.AddrPort        // engines whose users must learn at once of this instance's use of them
	reportedLeft   map[netip.AddrPort]bool // engines that take no work any more and whose users have been told of this instance's use
	bundle         gossip.Bundle
	bundleFilled   chan struct{} // receives requests to send the bundle within bundleInterval
	bundleUrgent   chan struct{} // receives requests to send the bundle at once
}

// pendingUpdate is a change of an endpoint that the next reports carry.
type pendingUpdate struct {
	change      roster.Change
	reportsLeft int // number of further reports that carry the change
}

// announce queues a change of an endpoint for the next reports; if too many are queued, the oldest is dropped.
func (g *gossiper) announce(c roster.Change) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.pendingUpdates = append(g.pendingUpdates, pendingUpdate{c, updateRepeats})
	g.pendingUpdates = g.pendingUpdates[max(len(g.pendingUpdates)-maximumPendingUpdates, 0):]
}

// nextUpdates returns the changes for the next report and counts them as reported once; the caller must hold the mutex.
func (g *gossiper) nextUpdates() []roster.Change {
	changes := make([]roster.Change, 0, len(g.pendingUpdates))
	for n := range g.pendingUpdates {
		changes = append(changes, g.pendingUpdates[n].change)
		g.pendingUpdates[n].reportsLeft--
	}
	g.pendingUpdates = slices.DeleteFunc(g.pendingUpdates, func(u pendingUpdate) bool { return u.reportsLeft <= 0 })
	return changes
}

func newGossiper(i *Instance) *gossiper {
	self := peerAddress(i.settings)
	return &gossiper{
		instance:     i,
		self:         self,
		start:        time.Now().UnixNano(),
		startedAt:    time.Now(),
		wake:         make(chan struct{}, 1),
		peers:        gossip.NewPeers(self),
		deltas:       gossip.NewDeltaTracker(),
		bundleFilled: make(chan struct{}, 1),
		bundleUrgent: make(chan struct{}, 1),
	}
}

// peerAddress returns the address under which other instances know an instance.
func peerAddress(s *platform.Settings) netip.AddrPort {
	return netip.AddrPortFrom(s.Address, uint16(s.FirstPeerPort))
}

// open binds the socket for reports.
func (g *gossiper) open() error {
	socket, err := datagram.Open(g.self)
	g.socket = socket
	return err
}

// reportSoon requests that the next report is sent before the interval ends.
func (g *gossiper) reportSoon() { signal(g.wake) }

// reportUse requests a report soon to the other users of an engine, because a run was sent to it, or has left it while it is leaving.
func (g *gossiper) reportUse(engine netip.AddrPort) {
	g.mutex.Lock()
	g.urgent = append(g.urgent, engine)
	g.mutex.Unlock()
	g.reportSoon()
}

// reportLeft requests a report soon to the other users of the engines that take no work any more. They leave such an engine one after the
// other and must know who still has runs there: an old report of runs that have ended since would make them wait without need.
func (g *gossiper) reportLeft() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	left := make(map[netip.AddrPort]bool)
	for _, a := range g.deltas.InUse() {
		if g.instance.roster.TakesWork(a) {
			continue
		}
		left[a] = true
		if !g.reportedLeft[a] {
			g.urgent = append(g.urgent, a)
			g.reportSoon()
		}
	}
	g.reportedLeft = left
}

// signal sends to a channel of capacity one unless a value is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sendReports sends reports until the context ends, and a last one then.
func (g *gossiper) sendReports(ctx context.Context) {
	for ctx.Err() == nil {
		g.sendReport()
		timer := time.NewTimer(g.reportInterval())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-g.wake:
			_ = wait.For(ctx, reportBatchPause) // an ended context ends the loop
		}
		timer.Stop()
	}
	g.ending.Store(true)
	g.sendReport()
}

func (g *gossiper) reportInterval() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.peers.NextReport(g.instance.settings.DataCentre, time.Now())
}

// sendReport sends one report to all other instances, to some of them through an instance that forwards it.
func (g *gossiper) sendReport() {
	now := time.Now()
	uses := g.ownUses(now)
	g.mutex.Lock()
	r := g.nextReport(now)
	r.Uses, r.Partial = g.deltas.Pick(uses, g.peers.FullReportInterval(), now)
	if !r.Partial {
		r.Leaving = g.instance.leavingEndpoints()
	}
	r.Updates = g.nextUpdates()
	r.RateLimits = g.instance.quotas.Notices(!r.Partial, now)
	r.Standings = g.instance.standings.Notices(!r.Partial, now)
	r.Crashes = g.instance.quarantine.Notices(now)
	r.Evacuations = g.instance.evacuations.Changes()
	targets := g.peers.Targets(r.DataCentre, r.Sequence, now)
	targets = append(targets, g.userTargets(targets, now)...)
	g.mutex.Unlock()
	data, err := gossip.Encode(r)
	if err != nil {
		g.instance.logger.Error("could not encode report", "error", err.Error())
		return
	}
	for _, t := range targets {
		if t.Address == g.self {
			g.addToBundle(r, data, false)
			continue
		}
		g.send(t.Address, messageOf(t.Forwarding), data)
	}
}

// nextReport returns the next report without uses and changes; the caller must hold the mutex.
func (g *gossiper) nextReport(now time.Time) *gossip.Report {
	g.sequence++
	latest := g.instance.roster.Latest()
	r := &gossip.Report{
		From:         g.self,
		Start:        g.start,
		Sequence:     g.sequence,
		DataCentre:   g.instance.settings.DataCentre,
		ReadAge:      g.instance.readAge(now),
		LatestOffset: latest.Offset,
		LatestEra:    latest.Era,
		Bundles:      true,
		Uptime:       now.Sub(g.startedAt),
		Stopping:     g.ending.Load(),
	}
	if table := g.instance.table.Load(); table != nil {
		r.Catalogue = table.Version
	}
	return r
}

// userTargets returns, in a large fleet, the other users of the engines in urgent, without those among the other targets; the caller holds
// the mutex.
func (g *gossiper) userTargets(others []gossip.Target, now time.Time) []gossip.Target {
	engines := g.urgent
	g.urgent = nil
	if len(engines) == 0 || !g.peers.Bundling(now) {
		return nil
	}
	addresses := g.instance.sharers.of(engines, g.peers.BundleMembers(g.instance.settings.DataCentre, now), now)
	for _, e := range engines {
		for a := range g.peers.UsesAt(e, now) {
			addresses[a] = true
		}
	}
	for _, t := range others {
		delete(addresses, t.Address)
	}
	targets := make([]gossip.Target, 0, len(addresses))
	for a := range addresses {
		targets = append(targets, gossip.Target{Address: a})
	}
	return targets
}

// messageOf returns the type of the message that carries a report.
func messageOf(f gossip.Forwarding) byte {
	switch f {
	case gossip.ForwardAtOnce:
		return messageForward
	case gossip.ForwardBundle:
		return messageCollect
	default:
		return messageReport
	}
}

// send sends a message to one instance.
func (g *gossiper) send(to netip.AddrPort, message byte, body []byte) {
	if err := g.socket.Send(to, append([]byte{message}, body...)); err != nil {
		g.instance.observer.reportNotSent(to, err)
	}
}

// ownUses returns what this instance has in progress, by endpoint.
func (g *gossiper) ownUses(now time.Time) []gossip.Use {
	var uses []gossip.Use
	held := g.instance.scheduler.heldTokens()
	g.instance.router.Demands(now, func(address netip.AddrPort, d endpoint.Demand) {
		if d.Running > 0 || d.Memory > 0 || d.Samples > 0 {
			uses = append(uses, gossip.Use{
				Endpoint: address, Running: d.Running, Memory: d.Memory, Held: held[address], Prompts: d.Prompts, Interval: d.Interval, Samples: d.Samples,
				PromptCount: d.PromptCount, TokenTime: d.TokenTime, PrefillSamples: d.PrefillSamples,
			})
			delete(held, address)
		}
	})
	for address, tokens := range held {
		// The router removes an endpoint that is leaving, but its runs still hold KV memory there.
		uses = append(uses, gossip.Use{Endpoint: address, Held: tokens})
	}
	return uses
}
