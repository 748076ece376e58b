package instance

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc/pool"

	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/explanation"
	"dogwooddyke/transport/operator"
)

// methodExplain looks up a decision on another instance.
const methodExplain = "explain.find"

// status tells operators how the instance is.
func (i *Instance) status() operator.Status {
	view := i.View()
	s := operator.Status{
		Address:           i.settings.Peers,
		Callers:           i.settings.Callers,
		DataCentre:        i.settings.DataCentre,
		State:             i.stateName(),
		Catalogue:         string(i.replica.State()),
		CatalogueRevision: view.Revision,
		CatalogueOffset:   view.Offset,
		CatalogueDigest:   view.Digest,
		CatalogueSyncedAt: i.replica.SyncedAt(),
		InFlight:          i.handler.InFlight(),
		Members:           i.members.Live(),
		Partitions:        i.steward.Mine(),
	}
	for _, r := range i.leases.Rows() {
		s.Leases = append(s.Leases, operator.LeaseStatus{Entry: r.Entry, Holder: r.Holder, Fence: r.Fence, Until: r.Until})
	}
	for name, p := range i.orders.Plans() {
		s.Orders = append(s.Orders, operator.OrderStatus{
			Entry: name, Ready: p.Ready, Current: p.Current, Loading: p.Loading, Held: p.Deferred, Fenced: p.Fenced,
		})
	}
	i.router.Demands(time.Now(), func(address netip.AddrPort, demand endpoint.Demand) {
		s.Endpoints = append(s.Endpoints, operator.EndpointStatus{
			Address: address, Running: demand.Running, Waiting: demand.Waiting, Knee: demand.Knee,
		})
	})
	return s
}

func (i *Instance) stateName() string {
	switch {
	case !i.running():
		return "draining"
	case i.Able():
		return "ready"
	default:
		return "starting"
	}
}

// explain finds a decision here or, failing that, on another instance.
func (i *Instance) explain(ctx context.Context, id string) (explanation.Explanation, bool) {
	if found, ok := i.ring.Find(id); ok {
		return found, true
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	others := pool.NewWithResults[*explanation.Explanation]().WithMaxGoroutines(explainWorkers)
	for _, a := range i.members.Live() {
		if a == i.settings.Peers {
			continue
		}
		others.Go(func() *explanation.Explanation {
			found, err := i.askExplanation(ctx, a, id)
			if err != nil {
				return nil
			}
			cancel()
			return found
		})
	}
	for _, found := range others.Wait() {
		if found != nil {
			return *found, true
		}
	}
	return explanation.Explanation{}, false
}

func (i *Instance) askExplanation(ctx context.Context, to netip.AddrPort, id string) (*explanation.Explanation, error) {
	asked := struct {
		ID string `json:"id"`
	}{id}
	var found explanation.Explanation
	if err := i.node.Call(ctx, to, methodExplain, asked, &found); err != nil {
		return nil, err
	}
	return &found, nil
}

func (i *Instance) serveExplain(_ context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
	var asked struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, oops.In("instance").Wrap(err)
	}
	found, ok := i.ring.Find(asked.ID)
	if !ok {
		return nil, oops.In("instance").Errorf("no decision is kept for %q", asked.ID)
	}
	return found, nil
}

// registerGauges makes what is counted elsewhere readable.
func (i *Instance) registerGauges() {
	m := i.metrics
	m.registry.MustRegister(newUsageCollector(i))
	traffic := i.node.Traffic()
	m.gauge("requests_in_flight", "Requests in progress.", func() float64 { return float64(i.handler.InFlight()) })
	m.gauge("catalogue_offset", "Offset of the last folded record.", func() float64 { return float64(i.View().Offset) })
	m.gauge("catalogue_revision", "Offset of the last accepted change.", func() float64 { return float64(i.View().Revision) })
	m.gauge("members_live", "Live instances.", func() float64 { return float64(len(i.members.Live())) })
	m.gauge("members_moves", "Times that a member came or went.", func() float64 { return float64(i.members.Moves()) })
	m.gauge("peer_bytes_in", "Bytes read from other instances.", func() float64 { return float64(traffic.BytesIn.Load()) })
	m.gauge("peer_bytes_out", "Bytes written to other instances.", func() float64 { return float64(traffic.BytesOut.Load()) })
	m.gauge("peer_calls_in", "Calls served for other instances.", func() float64 { return float64(traffic.CallsIn.Load()) })
	m.gauge("peer_calls_out", "Calls made to other instances.", func() float64 { return float64(traffic.CallsOut.Load()) })
	m.gauge("peer_panics", "Handlers for other instances that failed by a panic.", func() float64 { return float64(traffic.Panics.Load()) })
	m.gauge("catalogue_age_seconds", "Time since the head of the log was last reached.", func() float64 {
		return time.Since(i.replica.SyncedAt()).Seconds()
	})
	m.gauge("ready", "1 when the instance takes work.", func() float64 {
		if i.Ready() {
			return 1
		}
		return 0
	})
}
