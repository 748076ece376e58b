package answer

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// TestTwoFaults brings about two faults in one answer and checks what the caller has.
func TestTwoFaults(t *testing.T) {
	kinds := []string{"die", "cut", "end", "silence", "duplicate", "lose", "reorder", "foreign"}
	rapid.Check(t, func(r *rapid.T) {
		repeatable := rapid.Bool().Draw(r, "repeatable")
		buffered := rapid.Bool().Draw(r, "whole")
		firstKind, secondKind := rapid.SampledFrom(kinds).Draw(r, "first"), rapid.SampledFrom(kinds).Draw(r, "second")
		position := rapid.IntRange(0, answerLength-1)
		firstAt, secondAt := position.Draw(r, "firstAt"), position.Draw(r, "secondAt")
		other := rapid.IntRange(0, 1).Draw(r, "engine")
		synctest.Test(t, func(t *testing.T) {
			b := newHarness(t, 3, repeatable)
			b.engines.injectFault(0, firstKind, firstAt)
			b.engines.injectFault(other, secondKind, secondAt)
			result := b.runner.Run(context.Background(), b.request(buffered), b.sink)
			b.assertResult(t, result)
			engineDied := firstKind == "die" || secondKind == "die"
			if result.Outcome != OutcomeFinished && (repeatable || buffered || !engineDied) {
				t.Errorf("%s at %d, %s at %d: %s (%s)", firstKind, firstAt, secondKind, secondAt, result.Outcome, result.Reason)
			}
		})
	})
}

// assertResult asserts what holds of every end: an orderly prefix of one generation, whole if finished, nothing left behind.
func (b *harness) assertResult(t *testing.T, result Result) {
	t.Helper()
	assertConsistent(t, b)
	if result.Delivered != len(b.sink.tokens) {
		t.Errorf("delivered %d, the caller has %d", result.Delivered, len(b.sink.tokens))
	}
	if result.Outcome == OutcomeFinished {
		assertComplete(t, b.sink.tokens)
	}
	for i, token := range b.sink.tokens {
		source, _, _ := strings.Cut(b.sink.tokens[0].Text, " ")
		if token.Index != i || !strings.HasPrefix(token.Text, source+" ") {
			t.Errorf("token %d has index %d and text %q", i, token.Index, token.Text)
		}
	}
	if result.Outcome == OutcomeNotRun && b.engines.starts() > 0 {
		t.Errorf("notRun, but engines started %d generations", b.engines.starts())
	}
}
