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

// harness is a runner before fake engines.
type harness struct {
	engines  *fakeEngines
	router   *fakeRouter
	observer *fakeObserver
	runner   *Runner
	second   *Runner // another instance, if the test has one
	sink     *fakeSink
}

func newHarness(t interface{ Fatal(...any) }, engines int, repeatable bool) *harness {
	signer, err := NewSigner(testKey, nil)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{
		engines:  newFakeEngines(engines, answerLength, repeatable),
		observer: &fakeObserver{},
		sink:     &fakeSink{},
	}
	b.router = &fakeRouter{addresses: b.engines.addresses}
	b.runner = &Runner{Engines: b.engines, Router: b.router, RetryBudgets: &RetryBudgets{}, Signer: signer, Observer: b.observer}
	return b
}

func (b *harness) request(buffered bool) *Request {
	return &Request{
		ID: "a", Entry: "verdicts", Workspace: "rescue", Body: []byte(`{"seed":1}`),
		Repeatable: b.engines.repeatable, Buffered: buffered, Deadline: time.Now().Add(time.Minute),
		Ask: routing.Ask{Deadline: time.Now().Add(5 * tokenInterval)}, // passes while the answer streams
	}
}

// assertComplete asserts that the caller has each token once, in order, from one generation, and one end.
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

// assertConsistent asserts that the table has each transition, that the end is final and that each place was given back.
func assertConsistent(t *testing.T, b *harness) {
	t.Helper()
	is := is.New(t)
	b.runner.Wait()
	if b.second != nil {
		b.second.Wait()
	}
	for _, transition := range b.observer.transitions {
		if !transition.Legal {
			t.Errorf("illegal transition %s to %s", transition.From, transition.To)
		}
	}
	is.True(b.observer.transitions[len(b.observer.transitions)-1].To.Final())
	is.Equal(b.router.open, 0)
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name       string
		kind       string
		at         int
		whole      bool
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
		{"diesMidwayWhole", "die", 50, true, false, OutcomeFinished, 2},
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
				b := newHarness(t, 3, c.repeatable)
				b.engines.injectFault(0, c.kind, c.at)
				result := b.runner.Run(context.Background(), b.request(c.whole), b.sink)
				is.Equal(result.Outcome, c.outcome)
				is.Equal(b.engines.starts(), c.starts)
				is.Equal(result.Delivered, len(b.sink.tokens))
				if c.outcome == OutcomeFinished {
					assertComplete(t, b.sink.tokens)
				}
				assertConsistent(t, b)
			})
		})
	}
}
