package load

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// testContent numbers the tokens of a request.
func testContent(r *Request, index int) string {
	return fmt.Sprintf("%d:%d ", r.Number, index)
}

func testText(number int, indexes ...int) string {
	var text strings.Builder
	for _, i := range indexes {
		text.WriteString(testContent(&Request{Number: number}, i))
	}
	return text.String()
}

func assertVerdict(t *testing.T, text string, want Verdict) {
	t.Helper()
	is := is.New(t)
	v := newVerifier(&Request{Number: 7, Tokens: 4}, testContent)
	v.text(text)
	v.end()
	is.Equal(v.verdict, want)
}

func TestVerifier(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		assertVerdict(t, testText(7, 0, 1, 2, 3), Verdict{Tokens: 4})
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
