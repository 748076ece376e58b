package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A service fails half of its work for a minute: the repeats stay a fraction of the requests, so that it can recover.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := &Budget{}
	a := RetryLimits{Ratio: 0.2, Extra: 56, Window: 10 * time.Second, Instances: 8}
	now := time.Unix(1000, 0)
	requests, repeats := 0, 0
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		b.CountRequest(a.Window, now)
		requests++
		if requests%2 == 0 && b.Take(a, now) {
			repeats++
		}
	}
	is.True(float64(repeats) <= a.Ratio*float64(requests)+6*float64(a.Extra)/8)
	is.True(repeats > requests/10)
}
