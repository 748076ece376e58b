package relay

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"dogwooddyke/state/route"
)

// A stream of a route that is split among services was taken up at another service than the one that began it.
func TestStreamIsTakenUpAtAnotherService(t *testing.T) {
	split := &route.Route{Kind: route.KindStream, Resumable: true, Splits: []route.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	t.Run("each request of a stream gets the same service", func(t *testing.T) {
		is := is.New(t)
		for n := range 1000 {
			first := &Request{ID: fmt.Sprint("r", n), Workspace: "w", Route: split}
			next := &Request{ID: fmt.Sprint("t", n), Workspace: "w", Route: split, After: 3, Resumes: first.ID}
			is.Equal(split.Pick(first.SplitFraction(0)), split.Pick(next.SplitFraction(0.99)))
		}
	})
	t.Run("streams are split by the weights", func(t *testing.T) {
		is, count := is.New(t), 0
		for n := range 10000 {
			if r := (&Request{ID: fmt.Sprint("r", n), Workspace: "w", Route: split}); split.Pick(r.SplitFraction(0)) == "b" {
				count++
			}
		}
		is.True(count > 900 && count < 1100)
	})
	t.Run("other requests are split at random", func(t *testing.T) {
		is := is.New(t)
		once := &route.Route{Kind: route.KindStream, Splits: split.Splits}
		is.Equal((&Request{ID: "r", Route: once}).SplitFraction(0.25), 0.25)
	})
}
