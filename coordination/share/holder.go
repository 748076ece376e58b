package share

import (
	"net/netip"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/workspace"
)

// DemandSource lists an instance's current demands, by endpoint and by limit; the router implements it.
type DemandSource interface {
	Demands(now time.Time, take func(address netip.AddrPort, demand endpoint.Demand))
	LimitDemands(now time.Time, take func(key routing.LimitKey, limits catalogue.Limits, demand workspace.Demand))
}

// Stewards returns the instance that is the steward of a key, and this instance's own address.
type Stewards interface {
	Steward(key string) netip.AddrPort
	Self() netip.AddrPort
}

// Holder decides when this instance asks which steward, and stores the granted shares; it does no I/O and is not safe for concurrent use.
type Holder struct {
	stewards  Stewards
	endpoints map[netip.AddrPort]*endpointState
	limits    map[routing.LimitKey]*limitState
}

// endpointState is what the holder knows of its share of one endpoint.
type endpointState struct {
	askedAt time.Time       // when the holder last asked for a share
	misses  int             // asks since the last grant
	demand  endpoint.Demand // as of the latest ask
	share   endpoint.Share  // as of the latest grant
	seenAt  time.Time       // when the demand source last listed the endpoint
}

// limitState is what the holder knows of its share of one limit.
type limitState struct {
	askedAt time.Time        // when the holder last asked for a share
	demand  workspace.Demand // as of the latest ask
	share   workspace.Share  // as of the latest grant
	seenAt  time.Time        // when the demand source last listed the limit
}

// NewHolder returns a holder without shares.
func NewHolder(stewards Stewards) *Holder {
	return &Holder{
		stewards:  stewards,
		endpoints: make(map[netip.AddrPort]*endpointState),
		limits:    make(map[routing.LimitKey]*limitState),
	}
}

// EndpointKey returns the key by which Stewards assigns an endpoint to its steward.
func EndpointKey(address netip.AddrPort) string { return "endpoint/" + address.String() }

// LimitKey returns the key by which Stewards assigns a limit to its steward.
func LimitKey(workspaceName, entry string) string { return "limit/" + workspaceName + "/" + entry }

// DueRequests returns the requests to send now, by steward.
func (h *Holder) DueRequests(source DemandSource, now time.Time) map[netip.AddrPort]*Request {
	requests := make(map[netip.AddrPort]*Request)
	source.Demands(now, func(address netip.AddrPort, demand endpoint.Demand) {
		h.addEndpointAsk(requests, address, demand, now)
	})
	source.LimitDemands(now, func(key routing.LimitKey, limits catalogue.Limits, demand workspace.Demand) {
		h.addLimitAsk(requests, key, limits, demand, now)
	})
	h.dropUnlisted(now)
	return requests
}

// addEndpointAsk adds an ask for a share of the endpoint to the requests if one is due.
func (h *Holder) addEndpointAsk(requests map[netip.AddrPort]*Request, address netip.AddrPort, demand endpoint.Demand, now time.Time) {
	s := h.endpoints[address]
	if s == nil {
		s = &endpointState{}
		h.endpoints[address] = s
	}
	s.seenAt = now
	if now.Sub(s.askedAt) < endpointPeriod(s, demand) {
		return
	}
	request := h.requestFor(requests, EndpointKey(address))
	if len(request.Endpoints) >= maximumAsks {
		return
	}
	s.askedAt, s.demand = now, demand
	s.misses++
	request.Endpoints = append(request.Endpoints, EndpointAsk{Endpoint: address, Demand: demand, Held: s.share})
}

// endpointPeriod returns the time between two asks for an endpoint. It is short while requests wait for a larger share and longer while
// nothing changes. While nothing runs it is so long that the share expires: the cautious share that remains then admits a first request.
func endpointPeriod(s *endpointState, demand endpoint.Demand) time.Duration {
	if demand.Waiting > 0 && demand.Running >= s.share.Slots {
		return urgentPeriod
	}
	if demand.Running != s.demand.Running || demand.Waiting != s.demand.Waiting {
		return changePeriod
	}
	if demand.Running == 0 && demand.Waiting == 0 {
		return idlePeriod
	}
	return refreshPeriod
}

// addLimitAsk adds an ask for a share of the limit to the requests if one is due.
func (h *Holder) addLimitAsk(requests map[netip.AddrPort]*Request, key routing.LimitKey, limits catalogue.Limits, demand workspace.Demand, now time.Time) {
	s := h.limits[key]
	if s == nil {
		s = &limitState{}
		h.limits[key] = s
	}
	s.seenAt = now
	if period := limitPeriod(s, demand); now.Sub(s.askedAt) < period {
		return
	}
	request := h.requestFor(requests, LimitKey(key.Workspace, key.Entry))
	if len(request.Limits) >= maximumAsks {
		return
	}
	s.askedAt, s.demand = now, demand
	request.Limits = append(request.Limits, LimitAsk{Workspace: key.Workspace, Entry: key.Entry, Limits: limits, Demand: demand, Held: s.share})
}

// limitPeriod returns the time between two asks for a limit.
func limitPeriod(s *limitState, demand workspace.Demand) time.Duration {
	if demand.Waiting > 0 {
		return urgentPeriod
	}
	if demand.Running == 0 && s.demand.Running == 0 && s.demand.Waiting == 0 {
		return idlePeriod
	}
	return refreshPeriod
}

// requestFor returns the request to the steward of the key, which it adds to the requests if missing.
func (h *Holder) requestFor(requests map[netip.AddrPort]*Request, key string) *Request {
	steward := h.stewards.Steward(key)
	request := requests[steward]
	if request == nil {
		request = &Request{Instance: h.stewards.Self()}
		requests[steward] = request
	}
	return request
}

// ApplyReply stores the shares that a steward's reply grants.
func (h *Holder) ApplyReply(reply *Reply) {
	for _, g := range reply.Endpoints {
		if s := h.endpoints[g.Endpoint]; s != nil {
			s.share, s.misses = g.Share, 0
		}
	}
	for _, g := range reply.Limits {
		if s := h.limits[routing.LimitKey{Workspace: g.Workspace, Entry: g.Entry}]; s != nil {
			s.share = g.Share
		}
	}
}

// WithUnreachableSteward returns the endpoints that have no valid share and whose steward does not answer, so that the instance has to
// poll their load itself.
func (h *Holder) WithUnreachableSteward(now time.Time) []netip.AddrPort {
	var addresses []netip.AddrPort
	for address, s := range h.endpoints {
		if now.After(s.share.Until) && s.misses >= unreachableMisses {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// dropUnlisted drops the endpoints and limits that the demand source has not listed for grantDuration.
func (h *Holder) dropUnlisted(now time.Time) {
	for address, s := range h.endpoints {
		if now.Sub(s.seenAt) > grantDuration {
			delete(h.endpoints, address)
		}
	}
	for key, s := range h.limits {
		if now.Sub(s.seenAt) > grantDuration {
			delete(h.limits, key)
		}
	}
}

// ReleaseRequests returns the requests by which a leaving instance releases its shares, by steward.
func (h *Holder) ReleaseRequests() map[netip.AddrPort]*Request {
	requests := make(map[netip.AddrPort]*Request)
	for address := range h.endpoints {
		request := h.requestFor(requests, EndpointKey(address))
		request.Leaving = true
		request.Endpoints = append(request.Endpoints, EndpointAsk{Endpoint: address})
	}
	for key := range h.limits {
		request := h.requestFor(requests, LimitKey(key.Workspace, key.Entry))
		request.Leaving = true
		request.Limits = append(request.Limits, LimitAsk{Workspace: key.Workspace, Entry: key.Entry})
	}
	return requests
}
