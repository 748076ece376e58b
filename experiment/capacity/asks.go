package capacity

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"dogwooddyke/coordination/share"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
)

// shareCalls is how often one measurement asks.
const shareCalls = 200

func shareProbes() []Probe {
	const source = "coordination/share, transport/peer"
	sizes := []int{1, 4, 16, 64}
	return []Probe{
		{
			Name: "askEndpointBytes", Item: "endpoint in 200 asks and answers", Unit: "bytes", Source: source, Sizes: sizes,
			Cost: func(ctx context.Context, size int, _ uint64) (float64, error) { return asks(ctx, size, 0, true) },
		},
		{
			Name: "askEndpointTime", Item: "endpoint in 200 asks, both ends", Unit: "µs", Source: source, Sizes: sizes,
			Cost: func(ctx context.Context, size int, _ uint64) (float64, error) { return asks(ctx, size, 0, false) },
		},
		{
			Name: "askLimitBytes", Item: "limit in 200 asks and answers", Unit: "bytes", Source: source, Sizes: sizes,
			Cost: func(ctx context.Context, size int, _ uint64) (float64, error) { return asks(ctx, 0, size, true) },
		},
		{
			Name: "askLimitTime", Item: "limit in 200 asks, both ends", Unit: "µs", Source: source, Sizes: sizes,
			Cost: func(ctx context.Context, size int, _ uint64) (float64, error) { return asks(ctx, 0, size, false) },
		},
		{Name: "ledgerMemory", Item: "holder in one endpoint's ledger", Unit: "bytes", Source: "coordination/share", Sizes: []int{25, 50, 100, 200}, Cost: ledgerMemory},
	}
}

// asks sends a real steward real asks of so many endpoints and limits.
func asks(ctx context.Context, endpoints, limits int, inBytes bool) (float64, error) {
	steward := share.NewSteward()
	var mutex sync.Mutex
	serve := func(_ context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
		var request share.Request
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, err
		}
		mutex.Lock()
		defer mutex.Unlock()
		return steward.Handle(&request, time.Now()), nil
	}
	return exchange(ctx, share.Method, serve, shareRequest(0, endpoints, limits), shareCalls, inBytes)
}

func shareRequest(instance, endpoints, limits int) *share.Request {
	r := &share.Request{Instance: addressOf(instance)}
	until := time.Now().Add(time.Second)
	for i := range endpoints {
		r.Endpoints = append(r.Endpoints, share.EndpointAsk{
			Endpoint: addressOf(100_000 + i),
			Demand:   endpoint.Demand{Running: 4, Waiting: 1, Memory: 3500, Variance: 1_234_567.5, Knee: 40},
			Held:     endpoint.Share{Slots: 6, Memory: 4200, Spread: 0.71, Until: until},
		})
	}
	for i := range limits {
		r.Limits = append(r.Limits, share.LimitAsk{
			Workspace: workspaceChange(i, 0).Workspace.Name,
			Limits:    catalogue.Limits{Concurrency: 200, RequestsPerSecond: 100, TokensPerSecond: 10_000},
		})
	}
	return r
}

func ledgerMemory(_ context.Context, size int, _ uint64) (float64, error) {
	return heapCost(func() (any, error) {
		s := share.NewSteward()
		for i := range size {
			s.Handle(shareRequest(i, 1, 0), time.Now())
		}
		return s, nil
	})
}
