package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Forwarding is what the receiver of a report does with it beside applying it.
type Forwarding int

// Ways of forwarding a report.
const (
	ForwardNone   Forwarding = iota // the report is not forwarded
	ForwardAtOnce                   // the receiver sends it to the other instances of its data centre at once
	ForwardBundle                   // the receiver is a forwarder and sends it to the whole fleet in its next bundle
)

// Target is an instance to which a report is sent. It may be this instance itself, as a forwarder.
type Target struct {
	Address    netip.AddrPort
	Forwarding Forwarding
}

// Targets returns the instances to which a report is sent. In a small fleet that is each other instance, and with several data centres one
// instance in each of the others, which forwards the report there. In a large fleet a report goes to one forwarder only.
func (p *Peers) Targets(dataCentre string, sequence uint64, now time.Time) []Target {
	if p.Bundling(now) {
		return p.bundledTargets(dataCentre, sequence, now)
	}
	return p.directTargets(dataCentre, sequence, now)
}

// directTargets returns the instances to which a report is sent in a fleet that does not use bundles. The links between data centres cost
// more than those within one, so a report is sent once to each other data centre, where one instance forwards it. A different instance
// forwards each report, so that only few reports are lost if one of them is dead. In small data centres, and to instances that have not
// reported so far, reports are sent directly.
func (p *Peers) directTargets(dataCentre string, sequence uint64, now time.Time) []Target {
	targets := make([]Target, 0, len(p.known))
	remote := make(map[string][]netip.AddrPort)
	for a, k := range p.known {
		switch {
		case p.isLive(k, now) && k.report.DataCentre != dataCentre && k.report.DataCentre != "":
			remote[k.report.DataCentre] = append(remote[k.report.DataCentre], a)
		case p.isLive(k, now) || p.mayBeLive(k, now):
			targets = append(targets, Target{Address: a})
		}
	}
	for _, addresses := range remote {
		if len(addresses) < minimumForwardingPeers {
			for _, a := range addresses {
				targets = append(targets, Target{Address: a})
			}
			continue
		}
		slices.SortFunc(addresses, netip.AddrPort.Compare)
		forwarder := (rank(p.self) + sequence) % uint64(len(addresses))
		targets = append(targets, Target{Address: addresses[forwarder], Forwarding: ForwardAtOnce})
	}
	return targets
}

// mayBeLive reports whether an instance that does not count as live was listed or heard of so recently that it may be starting, or be back.
func (p *Peers) mayBeLive(k *peer, now time.Time) bool {
	return now.Sub(k.listedAt) <= p.expiry() || now.Sub(k.heardAt) <= removalExpiries*p.expiry()
}

// LivePeersIn returns the other live instances of a data centre, to which a report from another data centre is forwarded.
func (p *Peers) LivePeersIn(dataCentre string, now time.Time) []netip.AddrPort {
	var addresses []netip.AddrPort
	for a, k := range p.known {
		if p.isLive(k, now) && k.report.DataCentre == dataCentre {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// ranked is an instance with its rank.
type ranked struct {
	address netip.AddrPort
	rank    uint64
}

// firstRanked returns the given number of instances with the lowest ranks, in order of rank.
func firstRanked(instances []ranked, count int) []ranked {
	slices.SortFunc(instances, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	return instances[:min(len(instances), count)]
}
