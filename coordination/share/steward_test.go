package share

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/workspace"
)

func instance(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(n + 1)}), 1)
}

// plainFill gives out the total in small steps, each to those that have the least and want more.
func plainFill(total float64, demands []float64) []float64 {
	const step = 0.01
	parts := make([]float64, len(demands))
	for total > step {
		least := -1
		for i := range parts {
			if parts[i]+step <= demands[i] && (least < 0 || parts[i] < parts[least]) {
				least = i
			}
		}
		if least < 0 {
			break
		}
		parts[least] += step
		total -= step
	}
	return parts
}

func TestFill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Float64Range(0, 20).Draw(t, "total")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 8), 1, 6).Draw(t, "demands")
		parts, plain := fill(total, demands), plainFill(total, demands)
		for i := range parts {
			if math.Abs(parts[i]-plain[i]) > 0.05 {
				t.Fatalf("%v of %v: %v, plainly %v", total, demands, parts, plain)
			}
		}
	})
}

// TestNeverMoreThanWhole checks that unexpired shares never add up to more than there is, unless more was already running.
func TestNeverMoreThanWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := NewSteward(), time.Unix(0, 0)
		s.SetInstances(4)
		address := netip.MustParseAddrPort("127.0.0.1:1")
		held := map[int]endpoint.Share{}
		limits := map[int]workspace.Share{}
		for range rapid.IntRange(1, 40).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(0, 3).Draw(t, "instance")
			running := rapid.IntRange(0, max(held[n].Slots, 0)).Draw(t, "running")
			demand := endpoint.Demand{Running: running, Waiting: rapid.IntRange(0, 30).Draw(t, "waiting"), Need: 500, Wanted: 2000, Knee: 20}
			reply := s.Handle(&Request{
				Instance:  instance(n),
				Endpoints: []EndpointAsk{{Endpoint: address, Demand: demand, Held: held[n]}},
				Limits:    []LimitAsk{{Workspace: "w", Limits: catalogue.Limits{Concurrency: 10, RequestsPerSecond: 50}, Demand: workspace.Demand{Waiting: demand.Waiting}, Held: limits[n]}},
			}, now)
			held[n], limits[n] = reply.Endpoints[0].Share, reply.Limits[0].Share
			slots, memory, concurrency, requests := 0, 0, 0, 0.0
			for i := range 4 {
				if now.Before(held[i].Until) {
					slots += held[i].Slots
					memory += held[i].Memory
				}
				if now.Before(limits[i].Until) {
					concurrency += limits[i].Concurrency
					requests += limits[i].Requests
				}
			}
			if slots > 20 || memory > defaultMemory || concurrency > 10 || requests > 50.001 {
				t.Fatalf("granted %d slots, %d memory, %d concurrency, %v requests", slots, memory, concurrency, requests)
			}
		}
	})
}

func TestSteward(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	ask := func(s *Steward, n int, d endpoint.Demand, held endpoint.Share, now time.Time) endpoint.Share {
		r := s.Handle(&Request{Instance: instance(n), Endpoints: []EndpointAsk{{Endpoint: address, Demand: d, Held: held}}}, now)
		return r.Endpoints[0].Share
	}
	busy := endpoint.Demand{Waiting: 100, Wanted: 50_000, Need: 500, Knee: 20}
	t.Run("newStewardIsCautious", func(t *testing.T) {
		is := is.New(t)
		s, now := NewSteward(), time.Unix(0, 0)
		s.SetInstances(4)
		is.Equal(ask(s, 0, busy, endpoint.Share{}, now).Slots, 5)
		is.Equal(ask(s, 0, busy, endpoint.Share{}, now.Add(settleSpan)).Slots, 20)
	})
	t.Run("handover", func(t *testing.T) {
		is := is.New(t)
		first, second, now := NewSteward(), NewSteward(), time.Unix(0, 0)
		first.SetInstances(2)
		ask(first, 0, busy, endpoint.Share{}, now)
		ask(first, 1, busy, endpoint.Share{}, now)
		now = now.Add(settleSpan)
		ask(first, 0, busy, endpoint.Share{}, now)
		second.Handle(&Request{Instance: instance(9), Handover: first.UnexpiredShares(now)}, now)
		is.Equal(ask(second, 1, busy, endpoint.Share{}, now).Slots, 10) // the other holds its half still
	})
	t.Run("leavingGivesBack", func(t *testing.T) {
		is := is.New(t)
		s, now := NewSteward(), time.Unix(0, 0)
		ask(s, 0, busy, endpoint.Share{}, now)
		ask(s, 1, busy, endpoint.Share{}, now)
		now = now.Add(settleSpan)
		s.Handle(&Request{Instance: instance(0), Leaving: true, Endpoints: []EndpointAsk{{Endpoint: address}}}, now)
		is.Equal(ask(s, 1, busy, endpoint.Share{}, now).Slots, 20)
	})
}
