package gossip

import (
	"net/netip"
	"slices"
	"time"
)

// Target is where a report is sent.
type Target struct {
	Address netip.AddrPort
	Forward bool // to be passed on to the others of its data centre
}

// Targets returns where a report is sent. It answers the load pattern of a large fleet in several data centres, whose links are
// dearer than those within one: each report crosses to another data centre once, and an instance there passes it on. That is another
// one for each report, so that one that is dead costs few of them. Small data centres, and instances that were not heard from yet,
// are sent to directly.
func (p *Peers) Targets(dataCentre string, sequence uint64, now time.Time) []Target {
	targets := make([]Target, 0, len(p.known))
	far := make(map[string][]netip.AddrPort)
	for a, k := range p.known {
		switch {
		case p.live(k, now) && k.report.DataCentre != dataCentre && k.report.DataCentre != "":
			far[k.report.DataCentre] = append(far[k.report.DataCentre], a)
		case p.live(k, now) || now.Sub(k.named) <= p.expiry() || now.Sub(k.heard) <= goneExpiries*p.expiry():
			targets = append(targets, Target{Address: a})
		}
	}
	for _, addresses := range far {
		if len(addresses) < leastForwarded {
			for _, a := range addresses {
				targets = append(targets, Target{Address: a})
			}
			continue
		}
		slices.SortFunc(addresses, netip.AddrPort.Compare)
		turn := (rank(p.self) + sequence) % uint64(len(addresses))
		targets = append(targets, Target{Address: addresses[turn], Forward: true})
	}
	return targets
}

// LivePeersIn returns the other live instances of a data centre, to which a report from elsewhere is passed on.
func (p *Peers) LivePeersIn(dataCentre string, now time.Time) []netip.AddrPort {
	var addresses []netip.AddrPort
	for a, k := range p.known {
		if p.live(k, now) && k.report.DataCentre == dataCentre {
			addresses = append(addresses, a)
		}
	}
	return addresses
}
