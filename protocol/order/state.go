package order

import (
	"context"
	"errors"
	"net/netip"
	"slices"

	"dogwooddyke/state/catalogue"
)

// ErrFenced reports that an engine refused an order because it has already seen a later fencing number.
var ErrFenced = errors.New("the engine has seen a later fencing number")

// EngineState is the progress of an engine in carrying out its order.
type EngineState string

// The states of an engine.
const (
	EngineReady   EngineState = "ready"   // serves
	EngineLoading EngineState = "loading" // loads weights
	EngineEmpty   EngineState = "empty"   // has no weights
	EngineLeaving EngineState = "leaving" // has announced that it will stop
)

// Order is the complete desired state of an engine, so that it is idempotent.
type Order struct {
	Fence    uint64   `json:"fence"`    // fencing number of the lease under which the order is sent
	Entry    string   `json:"entry"`    // name of the catalogue entry
	Model    string   `json:"model"`    // name of the model
	Version  string   `json:"version"`  // version of the model
	Adapters []string `json:"adapters"` // names of the adapters; their order has no meaning
	Role     string   `json:"role"`     // role of the engine
}

// Report is the last order that an engine has accepted and its progress in carrying it out.
type Report struct {
	Order
	State EngineState `json:"state"`
}

// Engines sends orders to engines and reads their reports.
type Engines interface {
	// Report returns the engine's current report.
	Report(ctx context.Context, endpoint netip.AddrPort) (Report, error)
	// Send sends an order and returns the engine's report after it; the error wraps ErrFenced if the engine refused the order's
	// fencing number.
	Send(ctx context.Context, endpoint netip.AddrPort, order Order) (Report, error)
}

// desiredOrder returns the order that the catalogue implies for the endpoint.
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

// sameWeights reports whether both orders need the same weights in memory.
func (o Order) sameWeights(other Order) bool {
	return o.Model == other.Model && o.Version == other.Version && sameSet(o.Adapters, other.Adapters)
}

// equivalent reports whether both orders have the same content, apart from their fencing numbers.
func (o Order) equivalent(other Order) bool {
	return o.sameWeights(other) && o.Entry == other.Entry && o.Role == other.Role
}

// sameSet reports whether both slices have the same elements in any order.
func sameSet(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}
