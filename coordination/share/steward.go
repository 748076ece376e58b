package share

import (
	"net/netip"
	"slices"
	"time"

	"dogwooddyke/state/endpoint"
)

// limitKey names a limit: of a workspace over all entries, or on one.
type limitKey struct{ workspace, entry string }

// Steward grants shares of the endpoints and limits that it is asked for; it does no I/O and is not safe for concurrent use.
type Steward struct {
	instances int
	endpoints map[netip.AddrPort]*endpointLedger
	limits    map[limitKey]*limitLedger
}

// NewSteward returns a steward that knows of no holders.
func NewSteward() *Steward {
	return &Steward{
		instances: 1,
		endpoints: make(map[netip.AddrPort]*endpointLedger),
		limits:    make(map[limitKey]*limitLedger),
	}
}

// SetInstances says how many instances may hold shares, for the time in which a steward is new.
func (s *Steward) SetInstances(count int) { s.instances = max(count, 1) }

// UpdateLoad takes in an endpoint's load as it was polled.
func (s *Steward) UpdateLoad(address netip.AddrPort, load endpoint.Load, now time.Time) {
	if l := s.endpoints[address]; l != nil && !load.At.Before(l.load.At) {
		l.load, l.loaded = load, now
	}
}

// EndpointsToPoll lists the endpoints whose load the steward needs; it needs that of idle ones more seldom.
func (s *Steward) EndpointsToPoll(now time.Time) []netip.AddrPort {
	var addresses []netip.AddrPort
	for address, l := range s.endpoints {
		if now.Sub(l.asked) > idleLimit {
			delete(s.endpoints, address)
			continue
		}
		if !l.busy(now) && now.Sub(l.loaded) < idlePoll {
			continue
		}
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// Handle grants what is asked for; a leaving instance gets nothing and gives back what it held.
func (s *Steward) Handle(request *Request, now time.Time) Reply {
	for _, h := range request.Handover {
		s.takeOver(h, now)
	}
	reply := Reply{}
	for _, ask := range request.Endpoints {
		l := s.endpoint(ask.Endpoint, now)
		if l == nil {
			continue
		}
		if request.Leaving {
			l.forget(request.Instance)
			continue
		}
		place := l.note(request.Instance, ask.Demand, ask.Held, now)
		grant := EndpointGrant{Endpoint: ask.Endpoint, Share: l.grant(place, s.instances, now)}
		if !l.loaded.IsZero() {
			load := l.load
			grant.Load = &load
		}
		reply.Endpoints = append(reply.Endpoints, grant)
	}
	for _, ask := range request.Limits {
		l := s.limit(limitKey{ask.Workspace, ask.Entry}, now)
		if l == nil {
			continue
		}
		if request.Leaving {
			l.forget(request.Instance)
			continue
		}
		l.limits = ask.Limits
		place := l.note(request.Instance, ask.Demand, ask.Held, now)
		reply.Limits = append(reply.Limits, LimitGrant{Workspace: ask.Workspace, Entry: ask.Entry, Share: l.grant(place, s.instances, now)})
	}
	return reply
}

// endpoint gives an endpoint's ledger, opened when missing; nil when there are too many.
func (s *Steward) endpoint(address netip.AddrPort, now time.Time) *endpointLedger {
	l := s.endpoints[address]
	if l == nil {
		if len(s.endpoints) >= maximumLedgers {
			return nil
		}
		l = &endpointLedger{}
		l.opened = now
		s.endpoints[address] = l
	}
	if !l.open(now) {
		return nil
	}
	return l
}

func (s *Steward) limit(key limitKey, now time.Time) *limitLedger {
	l := s.limits[key]
	if l == nil {
		s.dropIdle(now)
		if len(s.limits) >= maximumLedgers {
			return nil
		}
		l = &limitLedger{}
		l.opened = now
		s.limits[key] = l
	}
	if !l.open(now) {
		return nil
	}
	return l
}

func (s *Steward) dropIdle(now time.Time) {
	if len(s.limits) < maximumLedgers {
		return
	}
	for key, l := range s.limits {
		if now.Sub(l.asked) > idleLimit {
			delete(s.limits, key)
		}
	}
}

// takeOver records a share that a leaving steward granted; with it the ledger counts as settled.
func (s *Steward) takeOver(held EndpointHolding, now time.Time) {
	l := s.endpoint(held.Endpoint, now)
	if l == nil || now.After(held.Share.Until) {
		return
	}
	l.note(held.Instance, held.Demand, held.Share, now)
	l.opened = now.Add(-settleSpan)
}

// UnexpiredShares lists the unexpired shares of the endpoints, for their next stewards.
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
