package prompt

import (
	"testing"

	"github.com/matryer/is"
)

func TestParsePart(t *testing.T) {
	t.Run("hexadecimal names keep their value", func(t *testing.T) {
		is := is.New(t)
		is.Equal(ParsePart("5c1e07a2"), Part(0x5c1e07a2))
		is.Equal(ParsePart("5c1e07a2").String(), "5c1e07a2")
		is.Equal(Format([]Part{0xa, 0xb}), "a,b")
	})
	t.Run("other names are told apart", func(t *testing.T) {
		is := is.New(t)
		is.True(ParsePart("system prompt") != ParsePart("another"))
		is.True(ParsePart("11112222333344445") != ParsePart("11112222333344446"))
	})
}
