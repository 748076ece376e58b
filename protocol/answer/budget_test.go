package answer

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestBudget(t *testing.T) {
	t.Run("burst", func(t *testing.T) {
		is := is.New(t)
		budget := NewBudget(testNow)
		now := testNow
		for range 1000 { // 100 a second over the window
			now = now.Add(budgetWindow / 1000)
			budget.Succeeded(now)
		}
		allowed := 0
		for range 1000 {
			if _, ok := budget.Reserve(now, 0); ok {
				allowed++
			}
		}
		is.True(allowed >= 80 && allowed <= 100) // a tenth of the recent successes
	})
	t.Run("forgets", func(t *testing.T) {
		is := is.New(t)
		budget := NewBudget(testNow)
		for range 1000 {
			budget.Succeeded(testNow)
		}
		later := testNow.Add(2 * budgetWindow)
		allowed := 0
		for range 100 {
			if _, ok := budget.Reserve(later, 0); ok {
				allowed++
			}
		}
		is.Equal(allowed, budgetInitial)
	})
	t.Run("turns", func(t *testing.T) {
		is := is.New(t)
		budget := NewBudget(testNow)
		for range 100 {
			budget.Succeeded(testNow)
		}
		last := testNow
		for range 12 { // ten at once, then one a second at a tenth of ten successes a second
			at, ok := budget.Reserve(testNow, budgetWait)
			is.True(ok)
			is.True(!at.Before(last))
			last = at
		}
		is.Equal(last, testNow.Add(2*time.Second))
	})
}

// TestBudgetBound checks that retries never exceed a tenth of the successes by more than the initial ones.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget, now := NewBudget(testNow), testNow
		successes, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond)
			if rapid.Bool().Draw(t, "success") {
				budget.Succeeded(now)
				successes++
				continue
			}
			if _, ok := budget.Reserve(now, 0); ok {
				retries++
			}
			if float64(retries) > budgetInitial+budgetFraction*float64(successes)+1e-6 {
				t.Fatalf("%d retries after %d successes", retries, successes)
			}
		}
	})
}
