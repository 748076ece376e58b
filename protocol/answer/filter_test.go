package answer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// naiveFilter is a reference model that keeps all passed tokens and derives each verdict from them.
type naiveFilter struct {
	generation     string
	passed         []Token
	trailingPassed bool
}

func (n *naiveFilter) accept(token Token) Verdict {
	ended := len(n.passed) > 0 && n.passed[len(n.passed)-1].Last
	switch {
	case token.Generation != n.generation:
		return VerdictForeign
	case token.Index < 0 && ended && !n.trailingPassed:
		n.trailingPassed = true
		return VerdictTrailing
	case token.Index < 0:
		return VerdictLate
	case token.Index < len(n.passed):
		return VerdictDuplicate
	case ended:
		return VerdictLate
	case token.Index > len(n.passed):
		return VerdictGap
	}
	n.passed = append(n.passed, token)
	return VerdictPass
}

func drawToken(t *rapid.T, next int) Token {
	return Token{
		Generation: rapid.SampledFrom([]string{"a.1", "a.1", "a.1", "a.1", "a.2", ""}).Draw(t, "generation"),
		Index:      next + rapid.SampledFrom([]int{0, 0, 0, 0, -1, 1, 2, -1000}).Draw(t, "offset"),
		Text:       rapid.StringN(0, 3, -1).Draw(t, "text"),
		Last:       rapid.IntRange(0, 20).Draw(t, "last") == 0,
	}
}

// TestFilterAgainstNaive compares the verdicts of Filter with those of the reference model.
func TestFilterAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		filter, naive := NewFilter("a.1"), &naiveFilter{generation: "a.1"}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			token := drawToken(t, filter.next)
			if got, want := filter.Accept(token), naive.accept(token); got != want {
				t.Fatalf("token %+v: %s, naive %s", token, got, want)
			}
		}
		if filter.delivered != len(naive.passed) {
			t.Fatalf("delivered %d, naive %d", filter.delivered, len(naive.passed))
		}
	})
}

func tokenSequence(generation string, length int) []Token {
	tokens := make([]Token, length)
	for i := range tokens {
		tokens[i] = Token{Generation: generation, Index: i, Text: fmt.Sprint(i), Last: i == length-1}
	}
	return tokens
}

// TestReplayAgainstNaive checks that a replay fails exactly if a delivered token differs, and passes no token after a mismatch.
func TestReplayAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(2, 4*checkpointInterval).Draw(t, "length")
		delivered := rapid.IntRange(1, length-1).Draw(t, "delivered")
		changed := rapid.IntRange(-1, length-1).Draw(t, "changed")
		filter := NewFilter("a.1")
		for _, token := range tokenSequence("a.1", length)[:delivered] {
			filter.Accept(token)
		}
		filter.Replay("a.2")
		again := tokenSequence("a.2", length)
		if changed >= 0 {
			again[changed].Text = "other"
		}
		passed, differs := 0, false
		for _, token := range again {
			switch filter.Accept(token) {
			case VerdictPass:
				passed++
			case VerdictMismatch:
				differs = true
			}
			if differs {
				break
			}
		}
		if want := changed >= 0 && changed < delivered; differs != want {
			t.Fatalf("differs %v, want %v", differs, want)
		}
		if !differs && passed != length-delivered {
			t.Fatalf("passed %d of %d", passed, length-delivered)
		}
		if differs && passed != 0 {
			t.Fatalf("passed %d after a mismatch", passed)
		}
	})
}

// TestReplayEndsEarly checks that a replay which ends at the last delivered token, although the answer went on, is a mismatch.
func TestReplayEndsEarly(t *testing.T) {
	is := is.New(t)
	filter := NewFilter("a.1")
	for _, token := range tokenSequence("a.1", 9)[:5] {
		filter.Accept(token)
	}
	filter.Replay("a.2")
	verdict := VerdictPass
	for _, token := range tokenSequence("a.2", 5) {
		verdict = filter.Accept(token)
	}
	is.Equal(verdict, VerdictMismatch)
}
