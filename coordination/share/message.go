package share

import (
	"net/netip"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/workspace"
)

// Request asks one steward for shares of several endpoints and limits.
type Request struct {
	Instance  netip.AddrPort    `cbor:"1,keyasint,omitzero"` // that asks
	Leaving   bool              `cbor:"2,keyasint,omitzero"`
	Endpoints []EndpointAsk     `cbor:"3,keyasint,omitzero"`
	Limits    []LimitAsk        `cbor:"4,keyasint,omitzero"`
	Handover  []EndpointHolding `cbor:"5,keyasint,omitzero"` // shares that a leaving steward granted
}

// EndpointAsk asks for a share of one endpoint.
type EndpointAsk struct {
	Endpoint netip.AddrPort  `cbor:"1,keyasint,omitzero"`
	Demand   endpoint.Demand `cbor:"2,keyasint,omitzero"`
	Held     endpoint.Share  `cbor:"3,keyasint,omitzero"` // of an earlier grant, from whichever steward
}

// EndpointHolding tells which share of an endpoint an instance was granted.
type EndpointHolding struct {
	Endpoint netip.AddrPort  `cbor:"1,keyasint,omitzero"`
	Instance netip.AddrPort  `cbor:"2,keyasint,omitzero"`
	Demand   endpoint.Demand `cbor:"3,keyasint,omitzero"`
	Share    endpoint.Share  `cbor:"4,keyasint,omitzero"`
}

// LimitAsk asks for a share of a workspace's limits, over all entries or on one.
type LimitAsk struct {
	Workspace string           `cbor:"1,keyasint,omitzero"`
	Entry     string           `cbor:"2,keyasint,omitzero"`
	Limits    catalogue.Limits `cbor:"3,keyasint,omitzero"`
	Demand    workspace.Demand `cbor:"4,keyasint,omitzero"`
	Held      workspace.Share  `cbor:"5,keyasint,omitzero"`
}

// Reply grants shares, in the order of the request.
type Reply struct {
	Endpoints []EndpointGrant `cbor:"1,keyasint,omitzero"`
	Limits    []LimitGrant    `cbor:"2,keyasint,omitzero"`
}

// EndpointGrant grants a share of an endpoint and tells its load as the steward last polled it.
type EndpointGrant struct {
	Endpoint netip.AddrPort `cbor:"1,keyasint,omitzero"`
	Share    endpoint.Share `cbor:"2,keyasint,omitzero"`
	Load     *endpoint.Load `cbor:"3,keyasint,omitzero"`
}

// LimitGrant grants a share of a workspace's limits.
type LimitGrant struct {
	Workspace string          `cbor:"1,keyasint,omitzero"`
	Entry     string          `cbor:"2,keyasint,omitzero"`
	Share     workspace.Share `cbor:"3,keyasint,omitzero"`
}
