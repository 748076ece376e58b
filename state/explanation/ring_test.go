package explanation

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

func TestRing(t *testing.T) {
	t.Run("newReplacesOldest", func(t *testing.T) {
		is := is.New(t)
		r := NewRing(2)
		for i := range 3 {
			r.Add(strconv.Itoa(i), "entry", Step{Kind: "accepted"})
		}
		_, ok := r.Find("0")
		is.True(!ok)
		_, ok = r.Find("2")
		is.True(ok)
		is.Equal(len(r.byID), 2)
	})
	t.Run("firstAndLastStepsAreKept", func(t *testing.T) {
		is := is.New(t)
		r := NewRing(1)
		for i := range 1000 {
			r.Add("a", "entry", Step{Kind: strconv.Itoa(i)})
		}
		e, ok := r.Find("a")
		is.True(ok)
		is.Equal(len(e.Steps), maximumSteps)
		is.Equal(e.Steps[0].Kind, "0")
		is.Equal(e.Steps[maximumSteps-1].Kind, "999")
		is.Equal(e.Omitted, 1000-maximumSteps)
	})
}
