package share

import (
	"net/netip"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/workspace"
)

// DemandSource is the router, as far as shares concern it.
type DemandSource interface {
	Demands(now time.Time, take func(address netip.AddrPort, demand endpoint.Demand))
	LimitDemands(now time.Time, take func(key routing.LimitKey, limits catalogue.Limits, demand workspace.Demand))
}

// Stewards tells which instance is the steward of a key.
type Stewards interface {
	Steward(key string) netip.AddrPort
	Self() netip.AddrPort
}

// Holder decides when to ask which steward and keeps what was granted; it does no I/O and is not safe for concurrent use.
type Holder struct {
	stewards  Stewards
	endpoints map[netip.AddrPort]*endpointState
	limits    map[routing.LimitKey]*limitState
}

type endpointState struct {
	asked  time.Time
	misses int             // asks since the last grant
	demand endpoint.Demand // as last asked
	share  endpoint.Share
	seen   time.Time
}

type limitState struct {
	asked  time.Time
	demand workspace.Demand
	share  workspace.Share
	seen   time.Time
}

// NewHolder returns a holder without shares.
func NewHolder(stewards Stewards) *Holder {
	return &Holder{
		stewards:  stewards,
		endpoints: make(map[netip.AddrPort]*endpointState),
		limits:    make(map[routing.LimitKey]*limitState),
	}
}

// EndpointKey names an endpoint to Stewards.
func EndpointKey(address netip.AddrPort) string { return "endpoint/" + address.String() }

// LimitKey names a limit to Stewards.
func LimitKey(workspaceName, entry string) string { return "limit/" + workspaceName + "/" + entry }

// DueRequests gives the requests to send now, by steward.
func (h *Holder) DueRequests(table DemandSource, now time.Time) map[netip.AddrPort]*Request {
	requests := make(map[netip.AddrPort]*Request)
	table.Demands(now, func(address netip.AddrPort, demand endpoint.Demand) {
		h.dueEndpoint(requests, address, demand, now)
	})
	table.LimitDemands(now, func(key routing.LimitKey, limits catalogue.Limits, demand workspace.Demand) {
		h.dueLimit(requests, key, limits, demand, now)
	})
	h.forget(now)
	return requests
}

func (h *Holder) dueEndpoint(requests map[netip.AddrPort]*Request, address netip.AddrPort, demand endpoint.Demand, now time.Time) {
	s := h.endpoints[address]
	if s == nil {
		s = &endpointState{}
		h.endpoints[address] = s
	}
	s.seen = now
	if now.Sub(s.asked) < endpointPeriod(s, demand) {
		return
	}
	request := h.request(requests, EndpointKey(address))
	if len(request.Endpoints) >= maximumAsks {
		return
	}
	s.asked, s.demand = now, demand
	s.misses++
	request.Endpoints = append(request.Endpoints, EndpointAsk{Endpoint: address, Demand: demand, Held: s.share})
}

// endpointPeriod gives the time between two asks: short while requests wait for a share, long while nothing changes, and so
// long while nothing runs that the share runs out: the cautious part that is left then admits a first request.
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

func (h *Holder) dueLimit(requests map[netip.AddrPort]*Request, key routing.LimitKey, limits catalogue.Limits, demand workspace.Demand, now time.Time) {
	s := h.limits[key]
	if s == nil {
		s = &limitState{}
		h.limits[key] = s
	}
	s.seen = now
	if period := limitPeriod(s, demand); now.Sub(s.asked) < period {
		return
	}
	request := h.request(requests, LimitKey(key.Workspace, key.Entry))
	if len(request.Limits) >= maximumAsks {
		return
	}
	s.asked, s.demand = now, demand
	request.Limits = append(request.Limits, LimitAsk{Workspace: key.Workspace, Entry: key.Entry, Limits: limits, Demand: demand, Held: s.share})
}

func limitPeriod(s *limitState, demand workspace.Demand) time.Duration {
	if demand.Waiting > 0 {
		return urgentPeriod
	}
	if demand.Running == 0 && s.demand.Running == 0 && s.demand.Waiting == 0 {
		return idlePeriod
	}
	return refreshPeriod
}

func (h *Holder) request(requests map[netip.AddrPort]*Request, key string) *Request {
	steward := h.stewards.Steward(key)
	request := requests[steward]
	if request == nil {
		request = &Request{Instance: h.stewards.Self()}
		requests[steward] = request
	}
	return request
}

// ApplyReply takes in a reply.
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

// WithUnreachableSteward lists the endpoints without a valid share whose steward does not answer, so that the instance has to poll their load itself.
func (h *Holder) WithUnreachableSteward(now time.Time) []netip.AddrPort {
	var addresses []netip.AddrPort
	for address, s := range h.endpoints {
		if now.After(s.share.Until) && s.misses >= missesToReach {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// forget drops what the router does not work with any more.
func (h *Holder) forget(now time.Time) {
	for address, s := range h.endpoints {
		if now.Sub(s.seen) > grantSpan {
			delete(h.endpoints, address)
		}
	}
	for key, s := range h.limits {
		if now.Sub(s.seen) > grantSpan {
			delete(h.limits, key)
		}
	}
}

// ReleaseRequests gives the requests by which a leaving instance gives its shares back.
func (h *Holder) ReleaseRequests() map[netip.AddrPort]*Request {
	requests := make(map[netip.AddrPort]*Request)
	for address := range h.endpoints {
		request := h.request(requests, EndpointKey(address))
		request.Leaving = true
		request.Endpoints = append(request.Endpoints, EndpointAsk{Endpoint: address})
	}
	for key := range h.limits {
		request := h.request(requests, LimitKey(key.Workspace, key.Entry))
		request.Leaving = true
		request.Limits = append(request.Limits, LimitAsk{Workspace: key.Workspace, Entry: key.Entry})
	}
	return requests
}
