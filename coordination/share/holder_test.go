package share

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/workspace"
)

var (
	holderSelf     = netip.MustParseAddrPort("10.0.0.1:1")
	holderEndpoint = netip.MustParseAddrPort("10.0.0.2:1")
)

// fixedDemand is a demand source with one endpoint and one limit.
type fixedDemand struct {
	demand endpoint.Demand
	limit  workspace.Demand
}

func (f *fixedDemand) Demands(_ time.Time, take func(netip.AddrPort, endpoint.Demand)) {
	take(holderEndpoint, f.demand)
}

func (f *fixedDemand) LimitDemands(_ time.Time, take func(routing.LimitKey, catalogue.Limits, workspace.Demand)) {
	take(routing.LimitKey{Workspace: "w"}, catalogue.Limits{Concurrency: 1}, f.limit)
}

// onlyInstance implements Stewards for a fleet of one instance.
type onlyInstance struct{}

func (onlyInstance) Steward(string) netip.AddrPort { return holderSelf }

func (onlyInstance) Self() netip.AddrPort { return holderSelf }

// countAsks returns the number of asks for the endpoint and for the limit within the duration; if answered is set, each ask for the
// endpoint is granted for the usual duration.
func countAsks(h *Holder, source DemandSource, start time.Time, duration time.Duration, answered bool) (endpoints, limits int) {
	for now := start; now.Before(start.Add(duration)); now = now.Add(50 * time.Millisecond) {
		for _, request := range h.DueRequests(source, now) {
			endpoints += len(request.Endpoints)
			limits += len(request.Limits)
			if answered && len(request.Endpoints) > 0 {
				share := endpoint.Share{Slots: 1, Until: now.Add(grantDuration)}
				h.ApplyReply(&Reply{Endpoints: []EndpointGrant{{Endpoint: holderEndpoint, Share: share}}})
			}
		}
	}
	return endpoints, limits
}

func TestHolder(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	t.Run("asksRarelyWhileIdle", func(t *testing.T) {
		is := is.New(t)
		h, source := NewHolder(onlyInstance{}), &fixedDemand{}
		endpoints, limits := countAsks(h, source, start, time.Minute, true)
		is.Equal(endpoints, 6)
		is.Equal(limits, 6)
	})
	t.Run("asksSoonWhenUseBegins", func(t *testing.T) {
		is := is.New(t)
		h, source := NewHolder(onlyInstance{}), &fixedDemand{}
		_, _ = countAsks(h, source, start, 5*time.Second, true)
		source.demand.Running, source.limit.Running = 1, 1
		endpoints, limits := countAsks(h, source, start.Add(5*time.Second), 100*time.Millisecond, true)
		is.Equal(endpoints, 1)
		is.Equal(limits, 1)
		endpoints, limits = countAsks(h, source, start.Add(6*time.Second), 10*time.Second, true)
		is.True(endpoints >= 10)
		is.True(limits >= 9)
	})
	t.Run("asksSoonWhenUseEnds", func(t *testing.T) {
		is := is.New(t)
		h, source := NewHolder(onlyInstance{}), &fixedDemand{demand: endpoint.Demand{Running: 1}, limit: workspace.Demand{Running: 1}}
		_, _ = countAsks(h, source, start, 5*time.Second, true)
		source.demand.Running, source.limit.Running = 0, 0
		endpoints, limits := countAsks(h, source, start.Add(5*time.Second), 2*time.Second, true)
		is.Equal(endpoints, 1)
		is.Equal(limits, 1)
	})
	t.Run("expiredIdleShareDoesNotMakeStewardUnreachable", func(t *testing.T) {
		is := is.New(t)
		h, source := NewHolder(onlyInstance{}), &fixedDemand{}
		_, _ = countAsks(h, source, start, 9*time.Second, true)
		is.Equal(len(h.WithUnreachableSteward(start.Add(9*time.Second))), 0)
	})
	t.Run("stewardWithoutAnswersIsUnreachable", func(t *testing.T) {
		is := is.New(t)
		h, source := NewHolder(onlyInstance{}), &fixedDemand{demand: endpoint.Demand{Running: 1}}
		_, _ = countAsks(h, source, start, 4*time.Second, false)
		is.Equal(len(h.WithUnreachableSteward(start.Add(4*time.Second))), 1)
	})
}
