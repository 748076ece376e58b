package share

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/workspace"
)

// newRequest returns a request of a busy instance for shares of count endpoints.
func newRequest(count int) *Request {
	until := time.UnixMicro(1_800_000_000_500_000)
	r := &Request{Instance: netip.MustParseAddrPort("10.1.2.3:7000")}
	for n := range count {
		r.Endpoints = append(r.Endpoints, EndpointAsk{
			Endpoint: netip.MustParseAddrPort(fmt.Sprintf("10.2.0.%d:8000", n)),
			Demand:   endpoint.Demand{Running: 7, Waiting: 2, Memory: 12_345, Variance: 54_321.5, Knee: 64},
			Held:     endpoint.Share{Slots: 9, Memory: 20_000, Spread: 0.75, Until: until},
		})
	}
	return r
}

// assertRoundTrip checks that encoding and decoding a message changes nothing.
func assertRoundTrip[T any](t *testing.T, message T) {
	t.Helper()
	is := is.New(t)
	data, err := json.Marshal(message)
	is.NoErr(err)
	var decoded T
	is.NoErr(json.Unmarshal(data, &decoded))
	is.Equal(decoded, message)
}

func TestCodec(t *testing.T) {
	until := time.UnixMicro(1_800_000_000_500_000)
	address := netip.MustParseAddrPort("[2001:db8::1]:8000")
	share := endpoint.Share{Slots: 9, Memory: 20_000, Spread: 0.75, Until: until}
	t.Run("request", func(t *testing.T) {
		r := newRequest(3)
		r.Leaving = true
		r.Handover = []EndpointHolding{{Endpoint: address, Instance: address, Share: share, Demand: endpoint.Demand{Running: 1}}}
		r.Limits = []LimitAsk{{
			Workspace: "w", Entry: "e", Limits: catalogue.Limits{Concurrency: 3},
			Demand: workspace.Demand{Running: 1, Requests: 2.5}, Held: workspace.Share{Concurrency: 2, Until: until},
		}}
		assertRoundTrip(t, *r)
	})
	t.Run("reply", func(t *testing.T) {
		assertRoundTrip(t, Reply{
			Endpoints: []EndpointGrant{{
				Endpoint: address, Share: share,
				Load: &endpoint.Load{At: until, Running: 3, CapacityTokens: 400_000, State: endpoint.StateReady, Model: "m"},
			}},
			Limits: []LimitGrant{{Workspace: "w", Share: workspace.Share{Tokens: 1.5, Until: until}}},
		})
	})
	t.Run("empty", func(t *testing.T) {
		assertRoundTrip(t, Request{})
		assertRoundTrip(t, Reply{})
	})
	t.Run("malformed", func(t *testing.T) {
		is := is.New(t)
		for _, text := range []string{`{}`, `"!"`, `"oWE="`, `"n/8="`} {
			is.True(json.Unmarshal([]byte(text), &Request{}) != nil)
		}
	})
}

func BenchmarkAsk(b *testing.B) {
	for _, count := range []int{1, 16} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r := newRequest(count)
			size := 0
			for b.Loop() {
				data, err := json.Marshal(r)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				if err := json.Unmarshal(data, &Request{}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size)/float64(count), "bytes/endpoint")
		})
	}
}
