package capacity

import (
	"context"
	"fmt"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/explanation"
)

// routedRequests is how many requests one measurement of a decision admits.
const routedRequests = 500

// tickCount is how often one measurement ticks.
const tickCount = 5000

func decisionProbes() []Probe {
	return []Probe{
		{Name: "routeTime", Item: "endpoint of the subset in 500 admissions and ends", Unit: "µs", Source: "coordination/routing", Sizes: []int{4, 8, 16, 32}, Cost: routeTime},
		{Name: "routerEndpointMemory", Item: "endpoint that an instance works with", Unit: "bytes", Source: "coordination/routing", Sizes: []int{16, 32, 64, 128}, Cost: routerMemory},
		{Name: "tickTime", Item: "endpoint in 5,000 ticks of the router", Unit: "µs", Source: "coordination/routing", Sizes: []int{64, 128, 256, 512}, Cost: tickTime},
		{Name: "blocksTime", Item: "kilobyte of prompt hashed 1,000 times", Unit: "µs", Source: "state/endpoint", Sizes: []int{1, 2, 4, 8}, Cost: blocksTime},
		{Name: "ringMemory", Item: "explained request", Unit: "bytes", Source: "state/explanation", Sizes: []int{512, 1024, 2048, 4096}, Cost: ringMemory},
	}
}

// newRouter returns a router with endpoints of one entry that have room.
func newRouter(endpoints int) *routing.Router {
	now := time.Now()
	r := routing.New(routing.Config{Self: addressOf(0), DataCentre: "lulea-a", SubsetSize: endpoints})
	e := entryChange(0, endpoints, 0).Entry
	r.SetEntry(e, now)
	for _, p := range e.Endpoints {
		r.UpdateLoad(p.Address, endpoint.Load{At: now, Running: 4, UsedTokens: 4000, CapacityTokens: 400_000, State: endpoint.StateReady}, now)
		r.SetShare(p.Address, endpoint.Share{Slots: 200, Memory: 300_000, Spread: 1, Until: now.Add(time.Hour)}, now)
	}
	return r
}

func routeTime(ctx context.Context, size int, _ uint64) (float64, error) {
	r := newRouter(size)
	return processorCost(func() error {
		for i := range routedRequests {
			slot, err := admit(ctx, r, i)
			if err != nil {
				return err
			}
			slot.Release(routing.OutcomeFinished, time.Now())
		}
		return nil
	})
}

func admit(ctx context.Context, r *routing.Router, number int) (*routing.Slot, error) {
	return r.Acquire(ctx, &routing.RequestSpec{
		ID: fmt.Sprintf("answer-%032d", number), Entry: "entry0000", Workspace: "workspace0000", Class: "assessment",
		PromptTokens: 400, Deadline: time.Now().Add(time.Second),
	})
}

func routerMemory(_ context.Context, size int, _ uint64) (float64, error) {
	return heapCost(func() (any, error) { return newRouter(size), nil })
}

func tickTime(_ context.Context, size int, _ uint64) (float64, error) {
	r := newRouter(size)
	return processorCost(func() error {
		for range tickCount {
			r.Tick(time.Now())
		}
		return nil
	})
}

func blocksTime(_ context.Context, size int, _ uint64) (float64, error) {
	prompt := fmt.Sprintf("%*s", size*1000, "")
	return processorCost(func() error {
		for range 1000 {
			endpoint.Blocks(prompt)
		}
		return nil
	})
}

// ringMemory keeps the explanations of real decisions.
func ringMemory(ctx context.Context, size int, _ uint64) (float64, error) {
	r := newRouter(16)
	return heapCost(func() (any, error) {
		ring := explanation.NewRing(size)
		for i := range size {
			slot, err := admit(ctx, r, i)
			if err != nil {
				return nil, err
			}
			d := slot.Decision()
			ring.Add(d.ID, d.Entry, explanation.Step{At: time.Now(), Kind: "admitted", Detail: slot.Endpoint().String(), Data: d})
			ring.Add(d.ID, d.Entry, explanation.Step{At: time.Now(), Kind: "finished"})
			slot.Release(routing.OutcomeFinished, time.Now())
		}
		return ring, nil
	})
}
