package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestConverge(t *testing.T) {
	is := is.New(t)
	r, err := Converge(t.Context(), Course{
		Instances: 4, PerSecond: 20, Span: 2 * time.Second, KillEvery: 800 * time.Millisecond, Seed: 5,
	})
	is.NoErr(err)
	t.Log(r)
	is.True(r.Held())
	is.True(r.Replaced > 0)
}
