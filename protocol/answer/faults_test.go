package answer

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// TestTwoFaults injects two faults into one answer and checks the tokens that the caller has received.
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
			h := newHarness(t, 3, repeatable)
			h.engines.injectFault(0, firstKind, firstAt)
			h.engines.injectFault(other, secondKind, secondAt)
			result := h.runner.Run(context.Background(), h.request(buffered), h.sink)
			h.assertResult(t, result)
			engineDied := firstKind == "die" || secondKind == "die"
			if result.Outcome != OutcomeFinished && (repeatable || buffered || !engineDied) {
				t.Errorf("%s at %d, %s at %d: %s (%s)", firstKind, firstAt, secondKind, secondAt, result.Outcome, result.Reason)
			}
		})
	})
}

// assertResult checks the invariants of every result: the caller has a prefix of one generation, which is complete if the answer
// finished, all slots are released, and notRun is reported only if no engine has started a generation.
func (h *harness) assertResult(t *testing.T, result Result) {
	t.Helper()
	assertConsistent(t, h)
	if result.Delivered != len(h.sink.tokens) {
		t.Errorf("delivered %d, the caller has %d", result.Delivered, len(h.sink.tokens))
	}
	if result.Outcome == OutcomeFinished {
		assertComplete(t, h.sink.tokens)
	}
	for i, token := range h.sink.tokens {
		source, _, _ := strings.Cut(h.sink.tokens[0].Text, " ")
		if token.Index != i || !strings.HasPrefix(token.Text, source+" ") {
			t.Errorf("token %d has index %d and text %q", i, token.Index, token.Text)
		}
	}
	if result.Outcome == OutcomeNotRun && h.engines.starts() > 0 {
		t.Errorf("notRun, but engines started %d generations", h.engines.starts())
	}
}
