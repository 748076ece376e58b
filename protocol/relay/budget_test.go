package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBudget guards against retries that keep a failing service overloaded: while a service fails half of its requests for a minute,
// the retries must stay a fraction of the requests, so that it can recover.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := &Budget{}
	limits := RetryLimits{Ratio: 0.2, Extra: 56, Window: 10 * time.Second, Instances: 8}
	now := time.Unix(1000, 0)
	requests, retries := 0, 0
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		b.CountRequest(limits.Window, now)
		requests++
		if requests%2 == 0 && b.Take(limits, now) {
			retries++
		}
	}
	is.True(float64(retries) <= limits.Ratio*float64(requests)+6*float64(limits.Extra)/8)
	is.True(retries > requests/10)
}

// A retry that was counted and not made must leave its place to another one.
func TestBudgetReturn(t *testing.T) {
	is := is.New(t)
	b := &Budget{}
	limits := RetryLimits{Extra: 2, Window: 10 * time.Second, Instances: 1}
	now := time.Unix(1000, 0)
	is.True(b.Take(limits, now))
	is.True(!b.Allows(limits, now))
	b.Return()
	b.Return() // more than were counted
	now = now.Add(3 * time.Second)
	is.True(b.Allows(limits, now))
	is.True(b.Take(limits, now))
	now = now.Add(5 * time.Second)
	is.True(!b.Take(limits, now))
	b.Return()
	is.True(b.Take(limits, now))
}
