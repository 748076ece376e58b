package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRetryAt guards against synchronized retries: 1000 requests are refused at the same moment, and with the same retry time for all
// of them they would arrive together.
func TestRetryAt(t *testing.T) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	measure := func(priority int) (busiest int, mean time.Duration) {
		buckets := map[time.Duration]int{}
		total := time.Duration(0)
		for range 1000 {
			wait := retryAt(now, time.Time{}, priority, random.Float64()).Sub(now)
			total += wait
			buckets[wait/(50*time.Millisecond)]++
		}
		for _, count := range buckets {
			busiest = max(busiest, count)
		}
		return busiest, total / 1000
	}
	t.Run("retries are spread", func(t *testing.T) {
		is := is.New(t)
		busiest, _ := measure(0)
		is.True(busiest < 250) // of 1000 in any 50 ms
	})
	t.Run("higher priority retries first", func(t *testing.T) {
		is := is.New(t)
		_, urgent := measure(0)
		_, normal := measure(2)
		is.True(urgent < normal)
	})
	t.Run("not before the estimate", func(t *testing.T) {
		is := is.New(t)
		estimate := now.Add(3 * time.Second)
		is.True(!retryAt(now, estimate, 0, 0).Before(estimate))
		is.True(!retryAt(now, estimate, 0, 0.99).After(now.Add(6 * time.Second)))
	})
	t.Run("past estimate counts as unknown", func(t *testing.T) {
		is := is.New(t)
		is.Equal(retryAt(now, now.Add(-time.Second), 0, 0), now.Add(minimumRetryDelay))
	})
}

// An instance that closes turns away all that waits at the same moment. Its callers must come back soon, but not together.
func TestRetryElsewhereAt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	buckets := map[time.Duration]int{}
	for range 1000 {
		wait := retryElsewhereAt(now, random.Float64()).Sub(now)
		is.True(wait >= 0 && wait < minimumRetryDelay)
		buckets[wait/(50*time.Millisecond)]++
	}
	is.Equal(len(buckets), 4)
	for _, count := range buckets {
		is.True(count < 300)
	}
}
