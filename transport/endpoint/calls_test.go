package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/claim"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/protocol/call"
	"dogwooddyke/standin"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/transport/platform"
)

const (
	callMembers  = 3
	callKeys     = 30
	callDeadline = 20 * time.Second
)

// caller is one instance's part that carries calls; its peers are called directly.
type caller struct {
	office  *office
	address netip.AddrPort
	steward *claim.Steward
	client  *claim.Client
	runner  *call.Runner
}

// office is a set of instances before a stand-in log and stand-in services.
type office struct {
	mutex    sync.Mutex
	leader   int // who all hold to be the steward
	log      *standin.Log
	services []*standin.Service
	order    []netip.AddrPort
	callers  []*caller
}

func (c *caller) Self() netip.AddrPort { return c.address }

func (c *caller) Steward(string) netip.AddrPort {
	c.office.mutex.Lock()
	defer c.office.mutex.Unlock()
	return c.office.callers[c.office.leader].address
}

func (c *caller) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	for _, other := range c.office.callers {
		if other.address != to {
			continue
		}
		serve := other.steward.ServeGrant
		if method == claim.MethodSettle {
			serve = other.steward.ServeSettle
		}
		given, err := serve(ctx, c.address, raw)
		if err != nil {
			return err
		}
		text, err := json.Marshal(given)
		return errors.Join(err, json.Unmarshal(text, result))
	}
	return errors.New("no such instance")
}

// Acquire gives a service that is not excluded.
func (o *office) Acquire(_ context.Context, ask *routing.RequestSpec) (answer.Slot, error) {
	for i := range o.order {
		at := o.order[(i+len(ask.ID))%len(o.order)]
		if len(ask.Exclude) == 0 || ask.Exclude[len(ask.Exclude)-1] != at {
			return slot(at), nil
		}
	}
	return nil, &routing.RefusalError{Reason: routing.ReasonNoEndpoint}
}

func newOffice(t *testing.T) *office {
	t.Helper()
	is := is.New(t)
	anywhere := netip.MustParseAddrPort("127.0.0.1:0")
	o := &office{log: standin.NewLog(standin.LogConfig{Rate: 300, Burst: 30, Retention: time.Hour})}
	at, err := o.log.Listen(anywhere)
	is.NoErr(err)
	t.Cleanup(func() { _ = o.log.Close() })
	for i := range 2 {
		s := standin.NewService(standin.ServiceConfig{Name: fmt.Sprint("service", i), Latency: 5 * time.Millisecond})
		address, err := s.Listen(anywhere)
		is.NoErr(err)
		t.Cleanup(func() { _ = s.Close() })
		o.services, o.order = append(o.services, s), append(o.order, address)
	}
	clients := NewClients()
	t.Cleanup(clients.Close)
	for i := range callMembers {
		c := &caller{office: o, address: netip.AddrPortFrom(anywhere.Addr(), uint16(i+1))}
		log := platform.NewLog("http://"+at.String(), platform.NewClient())
		c.steward, err = claim.NewSteward(log, c, nil, claim.Settings{Partitions: 4, AppendsPerSecond: 200, Window: time.Hour})
		is.NoErr(err)
		c.client = claim.NewClient(c.steward, c)
		c.runner = &call.Runner{Services: NewServices(clients), Router: o, RetryBudgets: &answer.RetryBudgets{}, Claims: c.client}
		o.callers = append(o.callers, c)
	}
	return o
}

// bufferSink keeps the response.
type bufferSink struct {
	status int
	body   bytes.Buffer
}

func (s *bufferSink) Begin(status int, _ http.Header) error {
	s.status = status
	return nil
}

func (s *bufferSink) Write(data []byte) error {
	_, err := s.body.Write(data)
	return err
}

func (o *office) call(at int, key string) (call.Result, *bufferSink) {
	sink := &bufferSink{}
	deadline := time.Now().Add(callDeadline)
	return o.callers[at].runner.Run(context.Background(), &call.Request{
		ID: key, Entry: "soundings", Workspace: "anglers", Method: http.MethodPost, Path: "/log", Key: key,
		Header: http.Header{"Idempotency-Key": {key}}, Body: []byte("12 cm"), KeyRule: catalogue.KeyRuleRequired,
		Deadline: deadline, Spec: routing.RequestSpec{ID: key, Deadline: deadline},
	}, sink), sink
}

func (o *office) runs(key string) int {
	sum := 0
	for _, s := range o.services {
		sum += s.RunsOfKey(key)
	}
	return sum
}

// fail brings about a fault of the log, of a service or of the stewards' places.
func (o *office) fail(t *testing.T, kind int) {
	t.Helper()
	soon := time.Now().Add(300 * time.Millisecond)
	var err error
	switch kind {
	case 0:
		err = o.log.Fault(standin.Fault{Kind: standin.FaultDropAnswer, Value: 3})
	case 1:
		err = o.log.Fault(standin.Fault{Kind: standin.FaultOutage, Until: soon})
	case 2:
		err = o.log.Fault(standin.Fault{Kind: standin.FaultPause, Until: soon})
	case 3:
		err = o.log.Fault(standin.Fault{Kind: standin.FaultLag, Value: 1, Until: soon})
	case 4:
		err = o.services[0].Fault(standin.Fault{Kind: standin.FaultDropAnswer, Value: 3})
	case 5:
		err = o.services[1].Fault(standin.Fault{Kind: standin.FaultDie, Until: soon})
	case 6:
		o.mutex.Lock()
		o.leader = (o.leader + 1) % callMembers
		o.mutex.Unlock()
	}
	is.New(t).NoErr(err)
}

const callFaults = 7

// TestCallsOverHTTP repeats each key at all instances at once, under two faults at a time, and asks the services how often
// each key ran.
func TestCallsOverHTTP(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			o := newOffice(t)
			random := rand.New(rand.NewPCG(seed, 4))
			var group conc.WaitGroup
			for k := range callKeys {
				if k%5 == 1 {
					o.fail(t, random.IntN(callFaults))
					o.fail(t, random.IntN(callFaults))
				}
				for at := range callMembers {
					group.Go(func() { o.checkCall(t, at, fmt.Sprint("k", k)) })
				}
				time.Sleep(20 * time.Millisecond)
			}
			group.Wait()
			o.checkRuns(t)
		})
	}
}

// checkCall asserts that a caller is told the truth: finished calls ran.
func (o *office) checkCall(t *testing.T, at int, key string) {
	result, sink := o.call(at, key)
	if result.Outcome == answer.OutcomeFinished && (o.runs(key) != 1 || sink.status != http.StatusOK || sink.body.Len() == 0) {
		t.Errorf("%s finished with status %d and %d bytes, ran %d times", key, sink.status, sink.body.Len(), o.runs(key))
	}
}

// checkRuns asserts that no key ran twice, and that a repeat is told what became of the key.
func (o *office) checkRuns(t *testing.T) {
	t.Helper()
	for _, s := range o.services {
		s.ClearFaults()
	}
	o.log.ClearFaults()
	for _, c := range o.callers {
		c.client.Wait()
	}
	for k := range callKeys {
		key := fmt.Sprint("k", k)
		before := o.runs(key)
		result, _ := o.call(k%callMembers, key)
		after := o.runs(key)
		if after > 1 || before == 1 && result.Outcome == answer.OutcomeNotRun || result.Reason == call.ReasonResultUnknown {
			t.Errorf("%s ran %d times, then %d; a repeat is told %s %s", key, before, after, result.Outcome, result.Reason)
		}
	}
}
