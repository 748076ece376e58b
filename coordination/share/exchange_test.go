package share

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
)

var errDisconnected = errors.New("network is disconnected")

// fleet passes calls between exchanges in memory, encoded as JSON.
type fleet struct {
	exchanges    map[netip.AddrPort]*Exchange
	routers      map[netip.AddrPort]*routing.Router
	disconnected bool // whether all calls fail
}

func (f *fleet) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	if f.disconnected || method != Method {
		return errDisconnected
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	reply, err := f.exchanges[to].Serve(ctx, to, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(reply); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// singleSteward implements Stewards with instance 0 as the steward of all keys.
type singleSteward struct{ self netip.AddrPort }

func (s singleSteward) Steward(string) netip.AddrPort { return instance(0) }
func (s singleSteward) Self() netip.AddrPort          { return s.self }

var engine = netip.MustParseAddrPort("127.0.0.1:9000")

func newFleet(count int) *fleet {
	f := &fleet{exchanges: make(map[netip.AddrPort]*Exchange), routers: make(map[netip.AddrPort]*routing.Router)}
	for n := range count {
		r := routing.New(routing.Config{Self: instance(n), Instances: count, Random: rand.New(rand.NewPCG(1, uint64(n)))})
		r.SetEntry(&catalogue.Entry{Name: "e", Kind: catalogue.KindEngine, Endpoints: []catalogue.Endpoint{{Address: engine}}}, time.Now())
		e := NewExchange(f, singleSteward{instance(n)}, r)
		e.SetInstances(count)
		f.exchanges[instance(n)], f.routers[instance(n)] = e, r
	}
	return f
}

// runRounds runs rounds of all exchanges for the number of seconds.
func (f *fleet) runRounds(seconds int) {
	for range 10 * seconds {
		for n := range len(f.exchanges) {
			f.exchanges[instance(n)].Round(context.Background(), time.Now())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// admitted returns how many requests an instance can start until one is refused.
func (f *fleet) admitted(n int) int {
	count := 0
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		_, err := f.routers[instance(n)].Acquire(ctx, &routing.RequestSpec{Entry: "e", Workspace: "w", PromptTokens: 1, MaximumTokens: 8})
		cancel()
		if err != nil {
			return count
		}
		count++
	}
}

func TestExchange(t *testing.T) {
	t.Run("sharesFollowDemand", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4)
			f.runRounds(3)
			now := time.Now()
			is.Equal(f.exchanges[instance(0)].EndpointsToPoll(now), []netip.AddrPort{engine})
			is.Equal(len(f.exchanges[instance(1)].EndpointsToPoll(now)), 0) // only the steward polls
			f.exchanges[instance(0)].UpdateLoad(engine, endpoint.Load{At: now, CapacityTokens: 100_000}, now)
			f.runRounds(2)
			total := f.admitted(1)
			f.runRounds(3) // the others are idle
			total += f.admitted(1)
			is.True(total > 16/4) // more than an equal part of the default knee
			is.True(total <= 16)
		})
	})
	t.Run("stewardUnreachable", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4)
			f.runRounds(3)
			running := f.admitted(1)
			f.disconnected = true
			f.runRounds(6)
			is.Equal(f.exchanges[instance(1)].EndpointsToPoll(time.Now()), []netip.AddrPort{engine}) // polls the load itself
			is.True(running >= 1)
			is.True(running+f.admitted(1) <= 4) // only the cautious share remains
		})
	})
	t.Run("malformedRequest", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		_, err := f.exchanges[instance(0)].Serve(context.Background(), instance(3), json.RawMessage("{"))
		is.True(err != nil)
	})
}
