package share

import (
	"net/netip"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/workspace"
)

// Request asks one steward for shares of several endpoints and limits, releases them, or hands granted shares of endpoints over to it.
type Request struct {
	Instance  netip.AddrPort    `cbor:"1,keyasint,omitzero"` // address of the asking instance
	Leaving   bool              `cbor:"2,keyasint,omitzero"` // whether the instance is leaving and releases its shares
	Endpoints []EndpointAsk     `cbor:"3,keyasint,omitzero"`
	Limits    []LimitAsk        `cbor:"4,keyasint,omitzero"`
	Handover  []EndpointHolding `cbor:"5,keyasint,omitzero"` // unexpired shares of endpoints that the instance granted as a steward that is leaving
}

// EndpointAsk asks for a share of one endpoint.
type EndpointAsk struct {
	Endpoint netip.AddrPort  `cbor:"1,keyasint,omitzero"`
	Demand   endpoint.Demand `cbor:"2,keyasint,omitzero"`
	Held     endpoint.Share  `cbor:"3,keyasint,omitzero"` // latest granted share, from this steward or another one
}

// EndpointHolding is the share of an endpoint that a steward has granted to an instance.
type EndpointHolding struct {
	Endpoint netip.AddrPort  `cbor:"1,keyasint,omitzero"`
	Instance netip.AddrPort  `cbor:"2,keyasint,omitzero"`
	Demand   endpoint.Demand `cbor:"3,keyasint,omitzero"`
	Share    endpoint.Share  `cbor:"4,keyasint,omitzero"`
}

// LimitAsk asks for a share of a workspace's limits, for all entries together or for a single one.
type LimitAsk struct {
	Workspace string           `cbor:"1,keyasint,omitzero"`
	Entry     string           `cbor:"2,keyasint,omitzero"` // empty for all entries together
	Limits    catalogue.Limits `cbor:"3,keyasint,omitzero"`
	Demand    workspace.Demand `cbor:"4,keyasint,omitzero"`
	Held      workspace.Share  `cbor:"5,keyasint,omitzero"` // latest granted share, from this steward or another one
}

// Reply grants shares in the order of the request. Asks for which the steward has no room in its ledgers are left out.
type Reply struct {
	Endpoints []EndpointGrant `cbor:"1,keyasint,omitzero"`
	Limits    []LimitGrant    `cbor:"2,keyasint,omitzero"`
}

// EndpointGrant grants a share of an endpoint and reports the load that the steward last polled.
type EndpointGrant struct {
	Endpoint netip.AddrPort `cbor:"1,keyasint,omitzero"`
	Share    endpoint.Share `cbor:"2,keyasint,omitzero"`
	Load     *endpoint.Load `cbor:"3,keyasint,omitzero"` // nil if the steward has not polled it yet
}

// LimitGrant grants a share of a workspace's limits.
type LimitGrant struct {
	Workspace string          `cbor:"1,keyasint,omitzero"`
	Entry     string          `cbor:"2,keyasint,omitzero"` // empty for all entries together
	Share     workspace.Share `cbor:"3,keyasint,omitzero"`
}
