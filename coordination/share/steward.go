package share

import (
	"net/netip"
	"slices"
	"time"

	"dogwooddyke/state/endpoint"
)

// limitKey identifies the limits of a workspace for all entries together (entry is empty) or for a single one.
type limitKey struct{ workspace, entry string }

// Steward grants shares of endpoints and limits to the instances that ask for them; it does no I/O and is not safe for concurrent use.
type Steward struct {
	instances int // number of instances that may hold shares, at least 1
	endpoints map[netip.AddrPort]*endpointLedger
	limits    map[limitKey]*limitLedger
}

// NewSteward returns a steward without ledgers.
func NewSteward() *Steward {
	return &Steward{
		instances: 1,
		endpoints: make(map[netip.AddrPort]*endpointLedger),
		limits:    make(map[limitKey]*limitLedger),
	}
}

// SetInstances sets the number of instances that may hold shares, by which grants are bounded while the steward is new.
func (s *Steward) SetInstances(count int) { s.instances = max(count, 1) }

// UpdateLoad records an endpoint's polled load unless it is older than the recorded one.
func (s *Steward) UpdateLoad(address netip.AddrPort, load endpoint.Load, now time.Time) {
	if l := s.endpoints[address]; l != nil && !load.At.Before(l.load.At) {
		l.load, l.loadedAt = load, now
	}
}

// EndpointsToPoll returns the endpoints whose load the steward needs now, and drops the ledgers of endpoints that no instance has asked
// for lately. Endpoints that no instance uses are polled less often.
func (s *Steward) EndpointsToPoll(now time.Time) []netip.AddrPort {
	var addresses []netip.AddrPort
	for address, l := range s.endpoints {
		if now.Sub(l.askedAt) > ledgerIdleTimeout {
			delete(s.endpoints, address)
			continue
		}
		if !l.inUse(now) && now.Sub(l.loadedAt) < idlePollInterval {
			continue
		}
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// Handle records the asks and the handed over shares of a request, and returns the granted shares. A leaving instance is granted nothing,
// and its shares are released.
func (s *Steward) Handle(request *Request, now time.Time) Reply {
	for _, h := range request.Handover {
		s.recordHandover(h, now)
	}
	reply := Reply{}
	for _, ask := range request.Endpoints {
		l := s.openEndpoint(ask.Endpoint, now)
		if l == nil {
			continue
		}
		if request.Leaving {
			l.remove(request.Instance)
			continue
		}
		index := l.record(request.Instance, ask.Demand, ask.Held, now)
		grant := EndpointGrant{Endpoint: ask.Endpoint, Share: l.grant(index, s.instances, now)}
		if !l.loadedAt.IsZero() {
			load := l.load
			grant.Load = &load
		}
		reply.Endpoints = append(reply.Endpoints, grant)
	}
	for _, ask := range request.Limits {
		l := s.openLimit(limitKey{ask.Workspace, ask.Entry}, now)
		if l == nil {
			continue
		}
		if request.Leaving {
			l.remove(request.Instance)
			continue
		}
		l.limits = ask.Limits
		index := l.record(request.Instance, ask.Demand, ask.Held, now)
		reply.Limits = append(reply.Limits, LimitGrant{Workspace: ask.Workspace, Entry: ask.Entry, Share: l.grant(index, s.instances, now)})
	}
	return reply
}

// openEndpoint returns an endpoint's ledger, created if missing; nil if there is no room for another ledger or holder.
func (s *Steward) openEndpoint(address netip.AddrPort, now time.Time) *endpointLedger {
	l := s.endpoints[address]
	if l == nil {
		if len(s.endpoints) >= maximumLedgers {
			return nil
		}
		l = &endpointLedger{}
		l.openedAt = now
		s.endpoints[address] = l
	}
	if !l.prepare(now) {
		return nil
	}
	return l
}

// openLimit returns a limit's ledger, created if missing; nil if there is no room for another ledger or holder.
func (s *Steward) openLimit(key limitKey, now time.Time) *limitLedger {
	l := s.limits[key]
	if l == nil {
		s.dropIdleLimits(now)
		if len(s.limits) >= maximumLedgers {
			return nil
		}
		l = &limitLedger{}
		l.openedAt = now
		s.limits[key] = l
	}
	if !l.prepare(now) {
		return nil
	}
	return l
}

// dropIdleLimits drops the limit ledgers without recent asks once the maximum number of ledgers is reached.
func (s *Steward) dropIdleLimits(now time.Time) {
	if len(s.limits) < maximumLedgers {
		return
	}
	for key, l := range s.limits {
		if now.Sub(l.askedAt) > ledgerIdleTimeout {
			delete(s.limits, key)
		}
	}
}

// recordHandover records a share that a leaving steward granted; grants from its ledger are then no longer bounded as from a new one.
func (s *Steward) recordHandover(held EndpointHolding, now time.Time) {
	l := s.openEndpoint(held.Endpoint, now)
	if l == nil || now.After(held.Share.Until) {
		return
	}
	l.record(held.Instance, held.Demand, held.Share, now)
	l.openedAt = now.Add(-settleDuration)
}

// UnexpiredShares returns the unexpired shares of all endpoints, to be handed over to the next stewards.
func (s *Steward) UnexpiredShares(now time.Time) []EndpointHolding {
	var all []EndpointHolding
	for address, l := range s.endpoints {
		for _, h := range l.holders {
			if !now.After(h.share.Until) {
				all = append(all, EndpointHolding{Endpoint: address, Instance: h.instance, Demand: h.demand, Share: h.share})
			}
		}
	}
	return all
}
