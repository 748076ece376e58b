package answer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestBudget(t *testing.T) {
	t.Run("burst", func(t *testing.T) {
		is := is.New(t)
		budget := NewRetryBudget(testNow)
		now := testNow
		for range 1000 { // 100 per second over the whole window
			now = now.Add(budgetWindow / 1000)
			budget.RecordSuccess(now)
		}
		allowed := 0
		for range 1000 {
			if _, ok := budget.tryTake(now); ok {
				allowed++
			}
		}
		is.True(allowed >= 80 && allowed <= 100) // a tenth of the recent successes
	})
	t.Run("successesExpire", func(t *testing.T) {
		is := is.New(t)
		budget := NewRetryBudget(testNow)
		for range 1000 {
			budget.RecordSuccess(testNow)
		}
		later := testNow.Add(2 * budgetWindow)
		allowed := 0
		for range 100 {
			if _, ok := budget.tryTake(later); ok {
				allowed++
			}
		}
		is.Equal(allowed, initialRetries)
	})
	t.Run("waitsForSuccesses", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			budget, began := NewRetryBudget(time.Now()), time.Now()
			for range 100 {
				budget.RecordSuccess(time.Now())
			}
			for range 10 {
				_, taken := budget.Take(t.Context(), 0)
				is.True(taken)
			}
			_, taken := budget.Take(t.Context(), 0)
			is.True(!taken) // the recent rate allows one retry per second, but none at once
			time.AfterFunc(time.Second/2, func() {
				for range successesPerRetry {
					budget.RecordSuccess(time.Now())
				}
			})
			_, taken = budget.Take(t.Context(), maximumBudgetWait)
			is.True(taken)
			at, taken := budget.Take(t.Context(), maximumBudgetWait)
			is.True(!taken) // there was no further success
			is.True(at.After(began))
		})
	})
}

// TestBudgetBound checks that retries never exceed a tenth of the successes plus the initial retries.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, now := NewRetryBudget(testNow), testNow
		successes, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond)
			if rapid.Bool().Draw(t, "success") {
				budget.RecordSuccess(now)
				successes++
				continue
			}
			if _, ok := budget.tryTake(now); ok {
				retries++
			}
			if retries > initialRetries+successes/successesPerRetry {
				t.Fatalf("%d retries after %d successes", retries, successes)
			}
		}
	})
}
