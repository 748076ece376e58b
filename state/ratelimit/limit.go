package ratelimit

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Limit is what an endpoint says of the requests that it takes from all instances together; the zero value says that it names no limit.
type Limit struct {
	Named     bool
	PerSecond float64 // requests per second, not negative; meaningful if Named is set
}

// Endpoint identifies one start of an endpoint's process. A process that starts again holds nothing to what the one before it has said.
type Endpoint struct {
	Address netip.AddrPort
	Start   uint64 // hash of the endpoint's id and of the time of its start
}

// String returns the address and the start.
func (e Endpoint) String() string { return fmt.Sprintf("%s/%x", e.Address, e.Start) }

// EndpointOf returns the identity of the endpoint with the id that was started at the given time by its own clock.
func EndpointOf(address netip.AddrPort, id string, born int64) Endpoint {
	return Endpoint{Address: address, Start: xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(id), uint64(born)))}
}
