package load

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// testSequence numbers the tokens of a request.
type testSequence int

func (s testSequence) Token(index int) string {
	return fmt.Sprintf("%d:%d ", int(s), index)
}

func testCandidates(r *Request, _ string) []Sequence {
	return []Sequence{testSequence(r.Number), testSequence(r.Number + 1_000_000)}
}

func testText(number int, indexes ...int) string {
	var text strings.Builder
	for _, i := range indexes {
		text.WriteString(testSequence(number).Token(i))
	}
	return text.String()
}

func assertVerdict(t *testing.T, text string, want Verdict) {
	t.Helper()
	is := is.New(t)
	r := &Request{Number: 7, Tokens: 4}
	v := newVerifier(r, testCandidates(r, ""))
	v.text(text)
	is.Equal(v.end(true), want)
}

func TestVerifier(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		assertVerdict(t, testText(7, 0, 1, 2, 3), Verdict{Tokens: 4})
	})
	t.Run("otherAttempt", func(t *testing.T) {
		assertVerdict(t, testText(1_000_007, 0, 1, 2, 3), Verdict{Tokens: 4})
	})
	t.Run("spliced", func(t *testing.T) {
		assertVerdict(t, testText(7, 0, 1)+testText(1_000_007, 2, 3), Verdict{Tokens: 2, Lost: 2, Crossed: 1})
	})
	t.Run("short", func(t *testing.T) {
		assertVerdict(t, testText(7, 0, 1), Verdict{Tokens: 2, Lost: 2})
	})
	t.Run("gap", func(t *testing.T) {
		assertVerdict(t, testText(7, 0, 2, 3), Verdict{Tokens: 3, Lost: 1})
	})
	t.Run("doubled", func(t *testing.T) {
		assertVerdict(t, testText(7, 0, 1, 1, 2, 3), Verdict{Tokens: 4, Doubled: 1})
	})
	t.Run("doubledLast", func(t *testing.T) {
		assertVerdict(t, testText(7, 0, 1, 2, 3, 3), Verdict{Tokens: 4, Doubled: 1})
	})
	t.Run("crossed", func(t *testing.T) {
		assertVerdict(t, testText(7, 0, 1)+testText(8, 2, 3), Verdict{Tokens: 2, Lost: 2, Crossed: 1})
	})
}
