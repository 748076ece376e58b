package hosted

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"dogwooddyke/coordination/gossip"
	"dogwooddyke/internal/wait"
)

// Types of messages between instances, in the first byte of a datagram.
const (
	messageReport         byte = iota // a report
	messageForward                    // a report that the receiver forwards to its data centre at once
	messageCollect                    // a report that the receiver forwards in its next bundle
	messageBundle                     // reports that a forwarder has collected
	messageRemoteBundle               // the same from another data centre, which the receiver forwards in its own
	messageAsk                        // an ask for permits of an endpoint
	messageGrant                      // the answer to an ask for permits
	messageTrialAsk                   // an ask whether a request with a blamed part may be sent
	messageTrialGrant                 // the answer to such an ask
	messageComparison                 // a digest of what the sender knows of crashes
	messageNews                       // what the sender knows of crashes
	messageBeginnings                 // beginnings of streams that the receiver keeps
	messageStreamQuestion             // a question for the beginning of a stream
	messageStreamAnswer               // the answer to such a question
)

// addToBundle adds a report to the next bundle; remote reports come from another data centre. A report that carries changes
// or crashes of endpoints is sent at once, because runs have to leave an endpoint within a second or two, and other endpoints may crash next. One without uses waits for other reports.
func (g *gossiper) addToBundle(r *gossip.Report, encoded []byte, remote bool) {
	g.mutex.Lock()
	if remote {
		g.bundle.AddRemote(encoded)
	} else {
		g.bundle.AddLocal(encoded)
	}
	g.mutex.Unlock()
	if len(r.Uses) > 0 || len(r.Updates) > 0 || len(r.RateLimits) > 0 || !r.Crashes.IsEmpty() || r.From == g.self {
		signal(g.bundleFilled)
	}
	if len(r.Updates) > 0 || !r.Crashes.IsEmpty() {
		signal(g.bundleUrgent)
	}
}

// forwardLater adds another instance's report to the next bundle. Several instances read the same changes of endpoints from the log and
// report them; what this instance knew already it has forwarded before, so it is left out.
func (g *gossiper) forwardLater(r *gossip.Report, received []byte, remote bool) {
	encoded, err := gossip.Encode(r)
	if err != nil {
		g.instance.logger.Error("could not encode report", "error", err.Error())
		encoded = slices.Clone(received)
	}
	g.addToBundle(r, encoded, remote)
}

// receiveBundle applies the reports of a bundle, and adds those of another data centre to the next bundle.
func (g *gossiper) receiveBundle(bundle []byte, remote bool) {
	reports, err := gossip.DecodeBundle(bundle)
	if err != nil {
		g.instance.observer.recordUnreadable("bundle", err)
		return
	}
	for _, report := range reports {
		if r, fresh := g.apply(report); fresh && remote {
			g.forwardLater(r, report, true)
		}
	}
	g.instance.updateShares(time.Now())
}

// sendBundles sends what this instance has collected as a forwarder until the context ends.
func (g *gossiper) sendBundles(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.bundleFilled:
		}
		timer := time.NewTimer(bundleInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-g.bundleUrgent:
			_ = wait.For(ctx, reportBatchPause) // an ended context ends the loop
		}
		timer.Stop()
		g.sendBundle()
	}
}

// sendBundle sends the collected reports to the instances of this data centre, and those that were collected here to the other ones.
func (g *gossiper) sendBundle() {
	now := time.Now()
	dataCentre := g.instance.settings.DataCentre
	g.mutex.Lock()
	forMembers, forDataCentres := g.bundle.Take()
	members := g.peers.BundleMembers(dataCentre, now)
	forwarders := g.peers.RemoteForwarders(dataCentre, now)
	g.mutex.Unlock()
	g.sendReportsTo(members, messageBundle, forMembers)
	g.sendReportsTo(forwarders, messageRemoteBundle, forDataCentres)
}

// sendReportsTo sends encoded reports to instances, in as many bundles as they need.
func (g *gossiper) sendReportsTo(addresses []netip.AddrPort, message byte, reports [][]byte) {
	bundles, err := gossip.EncodeBundles(reports)
	if err != nil {
		g.instance.logger.Error("could not encode bundle", "error", err.Error())
		return
	}
	for _, b := range bundles {
		for _, a := range addresses {
			g.send(a, message, b)
		}
	}
}
