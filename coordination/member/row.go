package member

import (
	"context"
	"net/netip"
)

// Kind tells instances from endpoints in the platform's list.
type Kind string

// The kinds of row.
const (
	KindInstance Kind = "instance"
	KindEndpoint Kind = "endpoint"
)

// State is what a source says of an address.
type State string

// The states of a row.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Row is one line of the platform's list.
type Row struct {
	Address    netip.AddrPort `json:"address"`
	Kind       Kind           `json:"kind"`
	DataCentre string         `json:"dataCentre"`
	State      State          `json:"state"`
}

// Roster reads the platform's lagging list.
type Roster interface {
	Instances(ctx context.Context) ([]Row, error)
}
