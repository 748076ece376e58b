package order

import (
	"context"
	"errors"
	"net/netip"
	"slices"

	"dogwooddyke/state/catalogue"
)

// ErrFenced reports an engine that refused an order because it has seen a later fencing number.
var ErrFenced = errors.New("fencing number is old")

// EngineState is how far an engine is with its order.
type EngineState string

// The states of an engine.
const (
	EngineReady   EngineState = "ready"
	EngineLoading EngineState = "loading"
	EngineEmpty   EngineState = "empty"
	EngineLeaving EngineState = "leaving"
)

// Order is the whole state that an engine is to have, so that repeating it changes nothing.
type Order struct {
	Fence    uint64   `json:"fence"`
	Entry    string   `json:"entry"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// Report is the order that an engine has and how far it is with it.
type Report struct {
	Order
	State EngineState `json:"state"`
}

// Engines gives orders to engines and reads them back.
type Engines interface {
	Report(ctx context.Context, endpoint netip.AddrPort) (Report, error)
	// Send returns the report after the order; the error wraps ErrFenced if the engine refused its fencing number.
	Send(ctx context.Context, endpoint netip.AddrPort, order Order) (Report, error)
}

// desiredOrder returns the state that the catalogue names for the endpoint.
func desiredOrder(e *catalogue.Entry, endpoint catalogue.Endpoint, fence uint64) Order {
	return Order{
		Fence:    fence,
		Entry:    e.Name,
		Model:    e.Model,
		Version:  e.Version,
		Adapters: append([]string{}, e.Adapters...),
		Role:     endpoint.Role,
	}
}

// sameWeights tells whether both orders need the same weights in memory.
func (o Order) sameWeights(other Order) bool {
	return o.Model == other.Model && o.Version == other.Version && sameSet(o.Adapters, other.Adapters)
}

// equivalent tells whether both orders ask for the same, whoever gave them.
func (o Order) equivalent(other Order) bool {
	return o.sameWeights(other) && o.Entry == other.Entry && o.Role == other.Role
}

func sameSet(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}
