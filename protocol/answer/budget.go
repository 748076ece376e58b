package answer

import (
	"context"
	"sync"
	"time"

	"dogwooddyke/internal/wait"
)

// RetryBudgets holds each entry's retry budget; the zero value is ready and safe for concurrent use.
type RetryBudgets struct {
	mutex   sync.Mutex
	entries map[string]*RetryBudget
}

// ForEntry returns the retry budget of the entry; once maximumBudgetEntries have a budget, all further entries share one.
func (b *RetryBudgets) ForEntry(entry string) *RetryBudget {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.entries == nil {
		b.entries = make(map[string]*RetryBudget)
	}
	if budget, known := b.entries[entry]; known {
		return budget
	}
	if len(b.entries) >= maximumBudgetEntries {
		entry = ""
	}
	budget, known := b.entries[entry]
	if !known {
		budget = NewRetryBudget(time.Now())
		b.entries[entry] = budget
	}
	return budget
}

// RetryBudget limits retries to a fraction of the recent successes; it is safe for concurrent use.
type RetryBudget struct {
	mutex     sync.Mutex
	credit    int                // successes that have not been spent on a retry
	waiting   int                // callers that wait in Take
	successes [budgetBuckets]int // ring of success counts, one for each bucket of the window
	bucket    int64              // number of the current bucket, counted from the Unix epoch
	createdAt time.Time
}

// NewRetryBudget returns a retry budget that allows initialRetries before the first success.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{credit: initialRetries * successesPerRetry, bucket: bucketOf(now), createdAt: now}
}

// RecordSuccess counts a request that ended successfully.
func (b *RetryBudget) RecordSuccess(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	b.successes[b.bucket%budgetBuckets]++
	b.credit = min(b.credit+1, b.maximumCredit())
}

// Take waits up to the maximum for the budget to allow a retry, and takes it. If the recent rate of successes would not allow a
// retry within that time, Take returns false at once, with the time at which the caller may try again. It also returns false when the
// context ends.
func (b *RetryBudget) Take(ctx context.Context, maximum time.Duration) (time.Time, bool) {
	limit := time.Now().Add(maximum)
	available, taken := b.tryTake(time.Now())
	if taken {
		return available, true
	}
	b.addWaiting(1)
	defer b.addWaiting(-1)
	for !available.IsZero() && !available.After(limit) {
		if err := wait.For(ctx, min(max(time.Until(available), minimumBudgetPause), maximumBudgetPause)); err != nil {
			return available, false
		}
		if available, taken = b.tryTake(time.Now()); taken {
			return available, true
		}
	}
	if available.IsZero() {
		available = time.Now().Add(budgetWindow)
	}
	return available, false
}

// tryTake takes a retry if the budget allows one. Otherwise it returns false and the time at which the budget is expected to allow
// one, or the zero time if no request has succeeded within the window.
func (b *RetryBudget) tryTake(now time.Time) (time.Time, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	if b.credit >= successesPerRetry {
		b.credit -= successesPerRetry
		return now, true
	}
	recent := b.recentSuccesses()
	if recent == 0 && now.Sub(b.createdAt) < budgetWindow {
		return b.createdAt.Add(budgetWindow), false // the budget is too new for a success to be expected
	}
	if recent == 0 {
		return time.Time{}, false
	}
	missing := successesPerRetry*(1+b.waiting) - b.credit
	return now.Add(budgetWindow * time.Duration(missing) / time.Duration(recent)), false
}

// addWaiting adds the change to the number of waiting callers, which delays the time returned to each of them.
func (b *RetryBudget) addWaiting(change int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.waiting += change
}

// maximumCredit returns the upper bound of the credit: the successes within the window, but at least the initial credit.
func (b *RetryBudget) maximumCredit() int {
	return max(initialRetries*successesPerRetry, b.recentSuccesses())
}

// recentSuccesses returns the number of successes within the window.
func (b *RetryBudget) recentSuccesses() int {
	sum := 0
	for _, count := range b.successes {
		sum += count
	}
	return sum
}

// advance clears the buckets that have left the window and reduces the credit to its new maximum.
func (b *RetryBudget) advance(now time.Time) {
	bucket := bucketOf(now)
	for cleared := 0; b.bucket < bucket && cleared < budgetBuckets; cleared++ {
		b.bucket++
		b.successes[b.bucket%budgetBuckets] = 0
	}
	b.bucket = max(b.bucket, bucket)
	b.credit = min(b.credit, b.maximumCredit())
}

// bucketOf returns the number of the bucket that contains the time, counted from the Unix epoch.
func bucketOf(now time.Time) int64 {
	return now.UnixNano() / int64(budgetWindow/budgetBuckets)
}
