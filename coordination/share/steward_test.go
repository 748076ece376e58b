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

// referenceDivision divides the total in small steps; each step goes to the smallest part that is still below its demand.
func referenceDivision(total float64, demands []float64) []float64 {
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

func TestDivideMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Float64Range(0, 20).Draw(t, "total")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 8), 1, 6).Draw(t, "demands")
		parts, reference := divideMaxMin(total, demands), referenceDivision(total, demands)
		for i := range parts {
			if math.Abs(parts[i]-reference[i]) > 0.05 {
				t.Fatalf("total %v, demands %v: got %v, want %v", total, demands, parts, reference)
			}
		}
	})
}

// TestSharesWithinCapacity checks that the unexpired shares together never exceed the capacity and the limits, unless more
// was already running.
func TestSharesWithinCapacity(t *testing.T) {
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
				t.Fatalf("unexpired shares add up to %d slots, %d tokens of memory, %d concurrency, %v requests per second", slots, memory, concurrency, requests)
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
	t.Run("newStewardGrantsEqualParts", func(t *testing.T) {
		is := is.New(t)
		s, now := NewSteward(), time.Unix(0, 0)
		s.SetInstances(4)
		is.Equal(ask(s, 0, busy, endpoint.Share{}, now).Slots, 5)
		is.Equal(ask(s, 0, busy, endpoint.Share{}, now.Add(settleDuration)).Slots, 20)
	})
	t.Run("handover", func(t *testing.T) {
		is := is.New(t)
		first, second, now := NewSteward(), NewSteward(), time.Unix(0, 0)
		first.SetInstances(2)
		ask(first, 0, busy, endpoint.Share{}, now)
		ask(first, 1, busy, endpoint.Share{}, now)
		now = now.Add(settleDuration)
		ask(first, 0, busy, endpoint.Share{}, now)
		second.Handle(&Request{Instance: instance(9), Handover: first.UnexpiredShares(now)}, now)
		is.Equal(ask(second, 1, busy, endpoint.Share{}, now).Slots, 10) // the other instance still holds its half
	})
	t.Run("leavingInstanceReleasesShares", func(t *testing.T) {
		is := is.New(t)
		s, now := NewSteward(), time.Unix(0, 0)
		ask(s, 0, busy, endpoint.Share{}, now)
		ask(s, 1, busy, endpoint.Share{}, now)
		now = now.Add(settleDuration)
		s.Handle(&Request{Instance: instance(0), Leaving: true, Endpoints: []EndpointAsk{{Endpoint: address}}}, now)
		is.Equal(ask(s, 1, busy, endpoint.Share{}, now).Slots, 20)
	})
}
