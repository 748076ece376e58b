package workspace

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/catalogue"
)

// countStarted returns the number of requests that the limiter allows to start within the time span.
func countStarted(l *Limiter, now time.Time, span time.Duration) int {
	count := 0
	for end := now.Add(span); now.Before(end); now = now.Add(10 * time.Millisecond) {
		for range 5 {
			if _, ready := l.ReadyAt(now); !ready {
				break
			}
			l.Submitted(now)
			l.Started(now)
			l.Ended()
			count++
		}
	}
	return count
}

func TestLimiter(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("requests", func(t *testing.T) {
		is := is.New(t)
		l := NewLimiter(catalogue.Limits{RequestsPerSecond: 40}, 4)
		started := countStarted(l, now, 10*time.Second)
		is.True(started >= 100 && started <= 110) // a quarter of the limit, and the initial burst
	})
	t.Run("negativeTokenBudget", func(t *testing.T) {
		is := is.New(t)
		l := NewLimiter(catalogue.Limits{TokensPerSecond: 100}, 1)
		_, ready := l.ReadyAt(now)
		is.True(ready)
		l.Spent(300, now)
		at, ready := l.ReadyAt(now)
		is.True(!ready)
		is.Equal(at, now.Add(2*time.Second)) // the burst of one second is used up
	})
	t.Run("shareEnds", func(t *testing.T) {
		is := is.New(t)
		l := NewLimiter(catalogue.Limits{Concurrency: 8}, 4)
		l.SetShare(Share{Concurrency: 7, Until: now.Add(time.Second)})
		is.Equal(l.Current(now).Concurrency, 7)
		is.Equal(l.Current(now.Add(time.Second)).Concurrency, 2)
	})
	t.Run("unlimited", func(t *testing.T) {
		is := is.New(t)
		l := NewLimiter(catalogue.Limits{}, 4)
		_, ready := l.ReadyAt(now)
		is.True(ready)
		is.True(!l.Limited())
	})
}
