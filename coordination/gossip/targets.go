package gossip

import (
	"net/netip"
	"slices"
	"time"
)

// Target is an instance to which a report is sent.
type Target struct {
	Address netip.AddrPort
	Forward bool // whether the instance is to forward the report to the others of its data centre
}

// Targets returns the instances to which a report is sent. In a large fleet of several data centres the links between them cost more
// than those within one, so a report is sent once to each other data centre, where one instance forwards it. A different instance forwards
// each report, so that only few reports are lost if one of them is dead. In small data centres, and to instances that have not reported so
// far, reports are sent directly.
func (p *Peers) Targets(dataCentre string, sequence uint64, now time.Time) []Target {
	targets := make([]Target, 0, len(p.known))
	remote := make(map[string][]netip.AddrPort)
	for a, k := range p.known {
		switch {
		case p.isLive(k, now) && k.report.DataCentre != dataCentre && k.report.DataCentre != "":
			remote[k.report.DataCentre] = append(remote[k.report.DataCentre], a)
		case p.isLive(k, now) || now.Sub(k.listedAt) <= p.expiry() || now.Sub(k.heardAt) <= removalExpiries*p.expiry():
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
		targets = append(targets, Target{Address: addresses[forwarder], Forward: true})
	}
	return targets
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
