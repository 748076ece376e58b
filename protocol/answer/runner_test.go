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

// bench is a runner before fake engines.
type bench struct {
	engines  *fakeEngines
	router   *fakeRouter
	observer *fakeObserver
	runner   *Runner
	other    *Runner // another instance, if the test has one
	sink     *fakeSink
}

func newBench(t interface{ Fatal(...any) }, engines int, repeatable bool) *bench {
	signer, err := NewSigner(testKey, nil)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{
		engines:  newFakeEngines(engines, answerLength, repeatable),
		observer: &fakeObserver{},
		sink:     &fakeSink{},
	}
	b.router = &fakeRouter{order: b.engines.order}
	b.runner = &Runner{Engines: b.engines, Router: b.router, Budget: &Budgets{}, Tokens: signer, Observer: b.observer}
	return b
}

func (b *bench) request(whole bool) *Request {
	return &Request{
		ID: "a", Entry: "verdicts", Workspace: "rescue", Body: []byte(`{"seed":1}`),
		Repeatable: b.engines.repeatable, Whole: whole, Deadline: time.Now().Add(time.Minute),
		Ask: routing.RequestSpec{Deadline: time.Now().Add(5 * tokenInterval)}, // passes while the answer streams
	}
}

// whole asserts that the caller has each token once, in order, from one generation, and one end.
func whole(t *testing.T, tokens []Token) {
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

// orderly asserts that the table has each transition, that the end is final and that each place was given back.
func orderly(t *testing.T, b *bench) {
	t.Helper()
	is := is.New(t)
	b.runner.Wait()
	if b.other != nil {
		b.other.Wait()
	}
	for _, move := range b.observer.moves {
		if !move.Legal {
			t.Errorf("illegal transition %s to %s", move.From, move.To)
		}
	}
	is.True(b.observer.moves[len(b.observer.moves)-1].To.Final())
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
				b := newBench(t, 3, c.repeatable)
				b.engines.fault(0, c.kind, c.at)
				result := b.runner.Run(context.Background(), b.request(c.whole), b.sink)
				is.Equal(result.Outcome, c.outcome)
				is.Equal(b.engines.starts(), c.starts)
				is.Equal(result.Delivered, len(b.sink.tokens))
				if c.outcome == OutcomeFinished {
					whole(t, b.sink.tokens)
				}
				orderly(t, b)
			})
		})
	}
}
