package endpoint

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/standin"
	"dogwooddyke/standin/model"
)

const (
	faultLength = 600
	faultBody   = `{"model":"ice","stream":true,"seed":7,"max_tokens":600,"messages":[{"role":"user","content":"is the ice safe?"}]}`
)

// fleet is a runner before stand-in engines, which it reaches over HTTP.
type fleet struct {
	mutex   sync.Mutex
	engines []*standin.Engine
	order   []netip.AddrPort
	runner  *answer.Runner
	seen    map[string]int // what the observer was told
}

func (f *fleet) StateChanged(t answer.Transition)            { f.see(string(t.To)) }
func (f *fleet) Retried(_, _, _ string)                      { f.see("retried") }
func (f *fleet) Resumed(_, _ string)                         { f.see("resumed") }
func (f *fleet) Replayed(_, _ string, _ bool)                { f.see("replayed") }
func (f *fleet) Dropped(_, _ string, verdict answer.Verdict) { f.see(string(verdict)) }

func (f *fleet) see(what string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.seen[what]++
}

func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{seen: map[string]int{}}
	for i := range count {
		e := standin.NewEngine(standin.EngineConfig{
			Name: fmt.Sprint("engine", i), Model: "ice", Version: "1", Repeatable: true,
			Sizes:   model.Config{StepTime: time.Millisecond},
			Lengths: model.Lengths{Median: 10 * faultLength, Sigma: 0.01},
		})
		at, err := e.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		is.NoErr(err)
		t.Cleanup(func() { _ = e.Close() })
		f.engines = append(f.engines, e)
		f.order = append(f.order, at)
	}
	signer, err := answer.NewSigner([]byte(strings.Repeat("k", 32)), nil)
	is.NoErr(err)
	f.runner = &answer.Runner{Engines: newEngines(t), Router: f, RetryBudgets: &answer.RetryBudgets{}, Signer: signer, Grace: time.Millisecond, Observer: f}
	return f
}

// Acquire gives the first endpoint that is not excluded.
func (f *fleet) Acquire(_ context.Context, ask *routing.RequestSpec) (answer.Slot, error) {
	for _, at := range f.order {
		if !slices.Contains(ask.Exclude, at) {
			return slot(at), nil
		}
	}
	return nil, &routing.RefusalError{Reason: routing.ReasonNoEndpoint}
}

type slot netip.AddrPort

func (s slot) Endpoint() netip.AddrPort           { return netip.AddrPort(s) }
func (s slot) RecordToken(time.Time)              {}
func (s slot) Release(routing.Outcome, time.Time) {}

// strikingSink brings about faults when the caller has a number of tokens.
type strikingSink struct {
	text    strings.Builder
	indexes []int
	strikes map[int]func()
}

func (s *strikingSink) Deliver(token answer.Token, _ string) error {
	if token.Index == answer.NoIndex {
		return nil
	}
	if strike := s.strikes[len(s.indexes)]; strike != nil {
		strike()
	}
	s.indexes = append(s.indexes, token.Index)
	s.text.WriteString(token.Text)
	return nil
}

func (f *fleet) run(id string, strikes map[int]func()) (answer.Result, *strikingSink) {
	sink := &strikingSink{strikes: strikes}
	result := f.runner.Run(context.Background(), &answer.Request{
		ID: id, Entry: "verdicts", Workspace: "rescue", Path: "/v1/chat/completions", Body: []byte(faultBody),
		Repeatable: true, Deadline: time.Now().Add(time.Minute),
	}, sink)
	return result, sink
}

// faultOn makes an engine fail when the caller has some tokens.
func (f *fleet) faultOn(t *testing.T, engine int, kind standin.FaultKind) func() {
	return func() {
		fault := standin.Fault{Kind: kind}
		if kind == standin.FaultDie {
			fault.Until = time.Now().Add(time.Hour)
		}
		if kind == standin.FaultStall || kind == standin.FaultPause {
			fault.Until = time.Now().Add(time.Second)
		}
		if err := f.engines[engine].Fault(fault); err != nil {
			t.Error(err)
		}
	}
}

// expectWhole asserts that the caller has the text of an answer without faults, each token once.
func expectWhole(t *testing.T, result answer.Result, sink *strikingSink, want string) {
	t.Helper()
	is := is.New(t)
	is.Equal(result.Outcome, answer.OutcomeFinished)
	is.Equal(len(sink.indexes), faultLength)
	for i, index := range sink.indexes {
		is.Equal(index, i)
	}
	is.Equal(sink.text.String(), want)
}

// streamFaults lists the faults with what the runner must have seen of each.
var streamFaults = []struct {
	kind standin.FaultKind
	seen string
}{
	{standin.FaultDie, "replayed"},
	{standin.FaultSilence, "silent"},
	{standin.FaultStall, "silent"},
	{standin.FaultPause, "silent"},
	{standin.FaultDuplicate, "duplicate"},
	{standin.FaultLose, "gap"},
	{standin.FaultReorder, "gap"},
	{standin.FaultForeign, "foreign"},
}

func TestFaultsOverHTTP(t *testing.T) {
	clean, cleanSink := newFleet(t, 1).run("clean", nil)
	want := cleanSink.text.String()
	expectWhole(t, clean, cleanSink, want)
	for _, c := range streamFaults {
		t.Run(string(c.kind), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2)
			result, sink := f.run("a", map[int]func(){faultLength / 4: f.faultOn(t, 0, c.kind)})
			expectWhole(t, result, sink, want)
			is.New(t).True(f.seen[c.seen] > 0)
		})
	}
	t.Run("dropAnswer", func(t *testing.T) {
		t.Parallel()
		f := newFleet(t, 2)
		f.faultOn(t, 0, standin.FaultDropAnswer)()
		result, sink := f.run("a", nil)
		expectWhole(t, result, sink, want)
		is.New(t).Equal(f.engines[1].Counters().Started, 0) // the first engine had started it
	})
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("two", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			random := rand.New(rand.NewPCG(seed, 4))
			first, second := streamFaults[random.IntN(len(streamFaults))], streamFaults[random.IntN(len(streamFaults))]
			next := 0
			if first.kind == standin.FaultDie {
				next = 1
			}
			result, sink := f.run("a", map[int]func(){
				80 + random.IntN(20):  f.faultOn(t, 0, first.kind),
				300 + random.IntN(60): f.faultOn(t, next, second.kind),
			})
			expectWhole(t, result, sink, want)
			is.New(t).True(f.seen[first.seen] > 0)
			is.New(t).True(f.seen[second.seen] > 0)
		})
	}
}
