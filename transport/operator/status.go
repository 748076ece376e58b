package operator

import (
	"net/netip"
	"time"
)

// Status is what /status tells of an instance.
type Status struct {
	Address           netip.AddrPort   `json:"address"` // peer listener
	Callers           netip.AddrPort   `json:"callers"`
	DataCentre        string           `json:"dataCentre"`
	State             string           `json:"state"`     // starting, ready or draining
	Catalogue         string           `json:"catalogue"` // where its records come from, see package replica
	CatalogueRevision uint64           `json:"catalogueRevision"`
	CatalogueOffset   uint64           `json:"catalogueOffset"`
	CatalogueDigest   string           `json:"catalogueDigest"`
	CatalogueSyncedAt time.Time        `json:"catalogueSyncedAt"` // when the head of the log was last reached
	InFlight          int              `json:"inFlight"`
	Members           []netip.AddrPort `json:"members"`
	Endpoints         []EndpointStatus `json:"endpoints"`
	Leases            []LeaseStatus    `json:"leases"`
	Orders            []OrderStatus    `json:"orders"`     // of the entries whose lease this instance has
	Partitions        []int            `json:"partitions"` // of idempotency keys that this instance is the steward of
}

// EndpointStatus is one endpoint that the instance works with, as it sees it.
type EndpointStatus struct {
	Address netip.AddrPort `json:"address"`
	Running int            `json:"running"` // generations of this instance
	Waiting int            `json:"waiting"` // requests of this instance that it could serve
	Knee    int            `json:"knee"`    // largest batch that keeps the time between tokens
}

// LeaseStatus is the lease of an entry's orders.
type LeaseStatus struct {
	Entry  string         `json:"entry"`
	Holder netip.AddrPort `json:"holder"`
	Fence  uint64         `json:"fence"`
	Until  time.Time      `json:"until"`
}

// OrderStatus is how far an entry's engines are with what the catalogue says.
type OrderStatus struct {
	Entry   string `json:"entry"`
	Ready   int    `json:"ready"`   // engines that serve, with whatever weights
	Current int    `json:"current"` // engines that serve as the catalogue says
	Loading int    `json:"loading"`
	Held    int    `json:"held"`   // engines that wait for the minimum of ready ones or for the weight store
	Fenced  int    `json:"fenced"` // engines that have seen a later lease
}
