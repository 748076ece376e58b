package gossip

import (
	"net/netip"
	"slices"
	"time"
)

// In a large fleet, a report that is sent to each instance directly costs as many messages as there are instances, for each start of a
// run on any of them. There, a few forwarders in each data centre collect the reports of its instances. At a fixed interval a forwarder
// sends what it has collected, as one bundle, to the instances of its data centre and to one forwarder of each other data centre, which
// passes it on. So the number of bundles that an instance sends or receives does not depend on how many runs the fleet starts.

// Bundling reports whether the fleet is so large that reports are sent in bundles. Instances that are listed in the log but have not
// reported yet count, so that a fleet that starts as a whole uses bundles from the beginning.
func (p *Peers) Bundling(now time.Time) bool {
	if len(p.known) < minimumBundlingPeers {
		return false
	}
	count := 0
	for _, k := range p.known {
		if p.isLive(k, now) || p.mayBeLive(k, now) {
			count++
		}
	}
	return count >= minimumBundlingPeers
}

// bundledTargets returns the instances to which a report is sent in a large fleet: one forwarder of this instance's data centre, instances
// that do not understand bundles, and one that is not known to be live but may be. An instance that knows no forwarder yet reports to a few
// of the listed instances, the same ones for all.
func (p *Peers) bundledTargets(dataCentre string, sequence uint64, now time.Time) []Target {
	var targets []Target
	if forwarder, found := p.pickForwarder(p.forwardersIn(dataCentre, true, now), now); found {
		targets = append(targets, Target{Address: forwarder, Forwarding: ForwardBundle})
	}
	var silent []ranked
	for a, k := range p.known {
		switch {
		case p.isLive(k, now):
			if !k.report.Bundles {
				targets = append(targets, Target{Address: a})
			}
		case p.mayBeLive(k, now):
			silent = append(silent, ranked{a, k.rank})
		}
	}
	if len(silent) == 0 {
		return targets
	}
	if p.LiveCount(now) < minimumBundlingPeers {
		for _, s := range firstRanked(silent, maximumContacts) {
			targets = append(targets, Target{Address: s.address, Forwarding: ForwardBundle})
		}
		return targets
	}
	sorted := firstRanked(silent, len(silent))
	return append(targets, Target{Address: sorted[sequence%uint64(len(sorted))].address})
}

// IsForwarder reports whether this instance is one of the forwarders of its data centre.
func (p *Peers) IsForwarder(dataCentre string, now time.Time) bool {
	if !p.Bundling(now) {
		return false
	}
	return slices.ContainsFunc(p.forwardersIn(dataCentre, true, now), func(f ranked) bool { return f.address == p.self })
}

// BundleMembers returns the instances of its own data centre to which a forwarder sends its bundles.
func (p *Peers) BundleMembers(dataCentre string, now time.Time) []netip.AddrPort {
	var members []netip.AddrPort
	for a, k := range p.known {
		if p.isLive(k, now) && k.report.Bundles && k.report.DataCentre == dataCentre {
			members = append(members, a)
		}
	}
	return members
}

// RemoteForwarders returns one forwarder of each other data centre, to which a forwarder sends the reports of its own data centre.
func (p *Peers) RemoteForwarders(dataCentre string, now time.Time) []netip.AddrPort {
	var forwarders []netip.AddrPort
	for d := range p.dataCentres(now) {
		if d == dataCentre {
			continue
		}
		if f, found := p.pickForwarder(p.forwardersIn(d, false, now), now); found {
			forwarders = append(forwarders, f)
		}
	}
	return forwarders
}

// dataCentres returns the data centres of the other live instances.
func (p *Peers) dataCentres(now time.Time) map[string]bool {
	names := make(map[string]bool)
	for _, k := range p.known {
		if p.isLive(k, now) && k.report.DataCentre != "" {
			names[k.report.DataCentre] = true
		}
	}
	return names
}

// forwardersIn returns the forwarders of a data centre, which are the first of its live instances by rank, with or without this instance.
func (p *Peers) forwardersIn(dataCentre string, withSelf bool, now time.Time) []ranked {
	var candidates []ranked
	if withSelf {
		candidates = append(candidates, ranked{p.self, rank(p.self)})
	}
	for a, k := range p.known {
		if p.isLive(k, now) && k.report.Bundles && k.report.DataCentre == dataCentre {
			candidates = append(candidates, ranked{a, k.rank})
		}
	}
	return firstRanked(candidates, maximumForwarders)
}

// pickForwarder returns the one of a data centre's forwarders to which this instance sends, which is itself if it is one. It stays the same
// while the forwarders do, so that reports arrive in order; a forwarder that has been silent is passed over unless all are.
func (p *Peers) pickForwarder(forwarders []ranked, now time.Time) (netip.AddrPort, bool) {
	var recent []ranked
	for _, f := range forwarders {
		if f.address == p.self {
			return p.self, true
		}
		if now.Sub(p.known[f.address].heardAt) <= maximumForwarderSilence {
			recent = append(recent, f)
		}
	}
	if len(recent) == 0 {
		recent = forwarders
	}
	if len(recent) == 0 {
		return netip.AddrPort{}, false
	}
	return recent[rank(p.self)%uint64(len(recent))].address, true
}
