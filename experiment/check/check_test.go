package check

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestHeld(t *testing.T) {
	is := is.New(t)
	good, bad := Check{Name: "a", Held: true, Seen: "1"}, Check{Name: "b", Seen: "2"}
	is.True(Held([]Check{good}))
	is.True(!Held([]Check{good, bad}))
	is.True(!Held(nil))
	var text strings.Builder
	is.NoErr(Write(&text, []Check{good, bad}))
	is.Equal(text.String(), "  held    a (1)\n  FAILED  b (2)\n")
}
