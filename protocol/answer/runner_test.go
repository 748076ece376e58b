package answer

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/coordination/routing"
)

const answerLength = 100

var testKey = []byte(strings.Repeat("k", minimumKeyBytes))

// harness is a runner with fake engines, router, observer and caller.
type harness struct {
	engines  *fakeEngines
	router   *fakeRouter
	observer *fakeObserver
	runner   *Runner
	second   *Runner // runner of another instance; may be nil
	sink     *fakeSink
}

func newHarness(t interface{ Fatal(...any) }, engines int, repeatable bool) *harness {
	signer, err := NewSigner(testKey, nil)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{
		engines:  newFakeEngines(engines, answerLength, repeatable),
		observer: &fakeObserver{},
		sink:     &fakeSink{},
	}
	h.router = &fakeRouter{addresses: h.engines.addresses}
	h.runner = &Runner{Engines: h.engines, Router: h.router, RetryBudgets: &RetryBudgets{}, Signer: signer, Observer: h.observer}
	return h
}

func (h *harness) request(buffered bool) *Request {
	return &Request{
		ID: "a", Entry: "verdicts", Workspace: "rescue", Body: []byte(`{"seed":1}`),
		Repeatable: h.engines.repeatable, Buffered: buffered, Deadline: time.Now().Add(time.Minute),
		Spec: routing.RequestSpec{Deadline: time.Now().Add(5 * tokenInterval)}, // passes while tokens are delivered
	}
}

// assertComplete checks that the caller has each token of one generation once and in order, and that only the last is marked so.
func assertComplete(t *testing.T, tokens []Token) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(tokens), answerLength)
	source, _, _ := strings.Cut(tokens[0].Text, " ")
	for i, token := range tokens {
		is.Equal(token.Index, i)
		is.Equal(token.Last, i == answerLength-1)
		is.True(strings.HasPrefix(token.Text, source+" "))
	}
}

// assertConsistent checks that each transition is legal, that the last state is final and that all slots have been released.
func assertConsistent(t *testing.T, h *harness) {
	t.Helper()
	is := is.New(t)
	h.runner.Wait()
	if h.second != nil {
		h.second.Wait()
	}
	for _, transition := range h.observer.transitions {
		if !transition.Legal {
			t.Errorf("illegal transition %s to %s", transition.From, transition.To)
		}
	}
	is.True(h.observer.transitions[len(h.observer.transitions)-1].To.Final())
	is.Equal(h.router.open, 0)
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name       string
		kind       string
		at         int
		buffered   bool
		repeatable bool
		outcome    Outcome
		starts     int
	}{
		{"none", "", 0, false, false, OutcomeFinished, 1},
		{"answerDropped", "dropAnswer", -1, false, false, OutcomeFinished, 1},
		{"silentStart", "silence", -1, false, false, OutcomeFinished, 1},
		{"diesAtStart", "die", -1, false, false, OutcomeFinished, 2},
		{"diesBeforeFirst", "die", 0, false, false, OutcomeFinished, 2},
		{"diesMidway", "die", 50, false, false, OutcomeInterrupted, 1},
		{"diesMidwayRepeatable", "die", 50, false, true, OutcomeFinished, 2},
		{"diesMidwayBuffered", "die", 50, true, false, OutcomeFinished, 2},
		{"diesAtLastRepeatable", "die", 99, false, true, OutcomeFinished, 2},
		{"diesAtLast", "die", 99, false, false, OutcomeInterrupted, 1},
		{"silence", "silence", 50, false, false, OutcomeFinished, 1},
		{"cut", "cut", 50, false, false, OutcomeFinished, 1},
		{"endsEarly", "end", 50, false, false, OutcomeFinished, 1},
		{"duplicate", "duplicate", 50, false, false, OutcomeFinished, 1},
		{"lose", "lose", 50, false, false, OutcomeFinished, 1},
		{"loseLast", "lose", 99, false, false, OutcomeFinished, 1},
		{"reorder", "reorder", 50, false, false, OutcomeFinished, 1},
		{"foreign", "foreign", 50, false, false, OutcomeFinished, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, 3, c.repeatable)
				h.engines.injectFault(0, c.kind, c.at)
				result := h.runner.Run(context.Background(), h.request(c.buffered), h.sink)
				is.Equal(result.Outcome, c.outcome)
				is.Equal(h.engines.starts(), c.starts)
				is.Equal(result.Delivered, len(h.sink.tokens))
				if c.outcome == OutcomeFinished {
					assertComplete(t, h.sink.tokens)
				}
				assertConsistent(t, h)
			})
		})
	}
}
