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

// oneEndpoint is a router with one endpoint and one limit.
type oneEndpoint struct {
	demand endpoint.Demand
	limit  workspace.Demand
}

func (o *oneEndpoint) Demands(_ time.Time, take func(netip.AddrPort, endpoint.Demand)) {
	take(holderEndpoint, o.demand)
}

func (o *oneEndpoint) LimitDemands(_ time.Time, take func(routing.LimitKey, catalogue.Limits, workspace.Demand)) {
	take(routing.LimitKey{Workspace: "w"}, catalogue.Limits{Concurrency: 1}, o.limit)
}

// self is a membership of one.
type self struct{}

func (self) Steward(string) netip.AddrPort { return holderSelf }

func (self) Self() netip.AddrPort { return holderSelf }

// asks counts the asks of a span for the endpoint and for the limit; each is granted for the usual span if answered.
func asks(h *Holder, table DemandSource, start time.Time, span time.Duration, answered bool) (endpoints, limits int) {
	for now := start; now.Before(start.Add(span)); now = now.Add(50 * time.Millisecond) {
		for _, request := range h.DueRequests(table, now) {
			endpoints += len(request.Endpoints)
			limits += len(request.Limits)
			if answered && len(request.Endpoints) > 0 {
				share := endpoint.Share{Slots: 1, Until: now.Add(grantSpan)}
				h.ApplyReply(&Reply{Endpoints: []EndpointGrant{{Endpoint: holderEndpoint, Share: share}}})
			}
		}
	}
	return endpoints, limits
}

func TestHolder(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	t.Run("idleAsksSeldom", func(t *testing.T) {
		is := is.New(t)
		h, table := NewHolder(self{}), &oneEndpoint{}
		endpoints, limits := asks(h, table, start, time.Minute, true)
		is.Equal(endpoints, 6)
		is.Equal(limits, 6)
	})
	t.Run("useAsksAtOnce", func(t *testing.T) {
		is := is.New(t)
		h, table := NewHolder(self{}), &oneEndpoint{}
		_, _ = asks(h, table, start, 5*time.Second, true)
		table.demand.Running, table.limit.Running = 1, 1
		endpoints, limits := asks(h, table, start.Add(5*time.Second), 100*time.Millisecond, true)
		is.Equal(endpoints, 1)
		is.Equal(limits, 1)
		endpoints, limits = asks(h, table, start.Add(6*time.Second), 10*time.Second, true)
		is.True(endpoints >= 10)
		is.True(limits >= 9)
	})
	t.Run("endOfUseIsToldAtOnce", func(t *testing.T) {
		is := is.New(t)
		h, table := NewHolder(self{}), &oneEndpoint{demand: endpoint.Demand{Running: 1}, limit: workspace.Demand{Running: 1}}
		_, _ = asks(h, table, start, 5*time.Second, true)
		table.demand.Running, table.limit.Running = 0, 0
		endpoints, limits := asks(h, table, start.Add(5*time.Second), 2*time.Second, true)
		is.Equal(endpoints, 1)
		is.Equal(limits, 1)
	})
	t.Run("lapseOfIdleShareIsNoSilence", func(t *testing.T) {
		is := is.New(t)
		h, table := NewHolder(self{}), &oneEndpoint{}
		_, _ = asks(h, table, start, 9*time.Second, true)
		is.Equal(len(h.WithUnreachableSteward(start.Add(9*time.Second))), 0)
	})
	t.Run("silentStewardIsOutOfReach", func(t *testing.T) {
		is := is.New(t)
		h, table := NewHolder(self{}), &oneEndpoint{demand: endpoint.Demand{Running: 1}}
		_, _ = asks(h, table, start, 4*time.Second, false)
		is.Equal(len(h.WithUnreachableSteward(start.Add(4*time.Second))), 1)
	})
}
