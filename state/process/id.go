package process

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// ID identifies one start of an endpoint's process. What is known of a process does not hold for the one that is started after it.
type ID struct {
	Address netip.AddrPort
	Start   uint64 // hash of the endpoint's id and of the time of its start
}

// String returns the address and the start.
func (i ID) String() string { return fmt.Sprintf("%s/%x", i.Address, i.Start) }

// Of returns the identity of the process of the endpoint with the id that was started at the given time by its own clock, in Unix milliseconds.
func Of(address netip.AddrPort, id string, born int64) ID {
	return ID{Address: address, Start: xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(id), uint64(born)))}
}
