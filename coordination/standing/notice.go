package standing

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"dogwooddyke/state/process"
	"dogwooddyke/state/statement"
)

// Notice carries what an endpoint has said to one instance to the others. Clocks of instances differ, so it holds a duration.
type Notice struct {
	Endpoint  netip.AddrPort `cbor:"1,keyasint"`
	Start     uint64         `cbor:"2,keyasint"`
	RestFor   time.Duration  `cbor:"3,keyasint,omitempty"` // from now on; zero: the endpoint does not rest
	Departure Departure      `cbor:"4,keyasint,omitempty"`
}

// Departure is whether an endpoint leaves.
type Departure uint8

// What an instance may know of an endpoint's departure.
const (
	DepartureUnknown Departure = iota
	Leaves
	Stays // after the instance has told the others that the endpoint leaves
)

// process returns the identity of the endpoint's process.
func (n Notice) process() process.ID { return process.ID{Address: n.Endpoint, Start: n.Start} }

// Check returns an error that names the first field whose value is out of range.
func (n Notice) Check() error {
	switch {
	case !n.Endpoint.IsValid():
		return errors.New("standing: endpoint has no valid address")
	case n.RestFor < 0 || n.RestFor > statement.MaximumRest:
		return fmt.Errorf("standing of endpoint %s: restFor is outside 0 to %s: %s", n.Endpoint, statement.MaximumRest, n.RestFor)
	case n.Departure > Stays:
		return fmt.Errorf("standing of endpoint %s: departure is not known: %d", n.Endpoint, n.Departure)
	}
	return nil
}
