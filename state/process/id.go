package process

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// crashSpan is the time within which an endpoint is not expected to start and crash again.
const crashSpan = 2 * time.Second

// ID identifies one start of an endpoint's process. What is known of a process does not hold for the one that is started after it.
type ID struct {
	Address netip.AddrPort
	Start   uint64 // hash of the endpoint's id and of the time of its start
}

// String returns the address and the start.
func (i ID) String() string { return fmt.Sprintf("%s/%x", i.Address, i.Start) }

// AtTime returns an identity for the process that has crashed at an address of an endpoint whose processes have no identity that instances know.
// Crashes there within a span of crashSpan are taken for one.
func AtTime(address netip.AddrPort, crashed time.Time) ID {
	return ID{Address: address, Start: uint64(crashed.Truncate(crashSpan).UnixNano())}
}

// Of returns the identity of the process of the endpoint with the id that was started at the given time by its own clock, in Unix milliseconds.
func Of(address netip.AddrPort, id string, born int64) ID {
	return ID{Address: address, Start: xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(id), uint64(born)))}
}
