package share

import (
	"net/netip"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/workspace"
)

// Request asks one steward for shares of several endpoints and limits.
type Request struct {
	Instance  netip.AddrPort `json:"instance"` // that asks
	Leaving   bool           `json:"leaving,omitempty"`
	Endpoints []EndpointAsk  `json:"endpoints,omitempty"`
	Limits    []LimitAsk     `json:"limits,omitempty"`
	Handover  []EndpointHeld `json:"handover,omitempty"` // shares that a leaving steward granted
}

// EndpointAsk asks for a share of one endpoint.
type EndpointAsk struct {
	Endpoint netip.AddrPort  `json:"endpoint"`
	Demand   endpoint.Demand `json:"demand"`
	Held     endpoint.Share  `json:"held"` // of an earlier grant, from whichever steward
}

// EndpointHeld tells which share of an endpoint an instance was granted.
type EndpointHeld struct {
	Endpoint netip.AddrPort  `json:"endpoint"`
	Instance netip.AddrPort  `json:"instance"`
	Demand   endpoint.Demand `json:"demand"`
	Share    endpoint.Share  `json:"share"`
}

// LimitAsk asks for a share of a workspace's limits, over all entries or on one.
type LimitAsk struct {
	Workspace string           `json:"workspace"`
	Entry     string           `json:"entry,omitempty"`
	Limits    catalogue.Limits `json:"limits"`
	Demand    workspace.Demand `json:"demand"`
	Held      workspace.Share  `json:"held"`
}

// Reply grants shares, in the order of the request.
type Reply struct {
	Endpoints []EndpointGrant `json:"endpoints,omitempty"`
	Limits    []LimitGrant    `json:"limits,omitempty"`
}

// EndpointGrant grants a share of an endpoint and tells its load as the steward last polled it.
type EndpointGrant struct {
	Endpoint netip.AddrPort `json:"endpoint"`
	Share    endpoint.Share `json:"share"`
	Load     *endpoint.Load `json:"load,omitempty"`
}

// LimitGrant grants a share of a workspace's limits.
type LimitGrant struct {
	Workspace string          `json:"workspace"`
	Entry     string          `json:"entry,omitempty"`
	Share     workspace.Share `json:"share"`
}
