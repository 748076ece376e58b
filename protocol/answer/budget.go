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

// ForEntry returns the budget of an entry; entries over the bound share one.
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

// RetryBudget allows retries up to a fraction of recent successes; it is safe for concurrent use.
type RetryBudget struct {
	mutex     sync.Mutex
	credit    int // successes that no retry has used
	waiting   int // retries that wait for their turn
	successes [budgetBuckets]int
	bucket    int64 // number of the current part of the window since the epoch
	createdAt time.Time
}

// NewRetryBudget returns a budget that allows a few retries before any success.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{credit: initialRetries * successesPerRetry, bucket: bucketOf(now), createdAt: now}
}

// RecordSuccess adds a finished answer.
func (b *RetryBudget) RecordSuccess(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	b.successes[b.bucket%budgetBuckets]++
	b.credit = min(b.credit+1, b.maximumCredit())
}

// Take waits for a retry's turn and takes it. Where the turn would not come within the wait, by the recent rate of successes, it
// returns false at once, and when to ask again.
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

// tryTake takes a retry if there is one, or returns when there should be; zero: not while nothing succeeds.
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
		return b.createdAt.Add(budgetWindow), false // nothing can have succeeded yet
	}
	if recent == 0 {
		return time.Time{}, false
	}
	missing := successesPerRetry*(1+b.waiting) - b.credit
	return now.Add(budgetWindow * time.Duration(missing) / time.Duration(recent)), false
}

func (b *RetryBudget) addWaiting(change int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.waiting += change
}

// maximumCredit bounds the credit by what the successes of the window allow.
func (b *RetryBudget) maximumCredit() int {
	return max(initialRetries*successesPerRetry, b.recentSuccesses())
}

func (b *RetryBudget) recentSuccesses() int {
	sum := 0
	for _, count := range b.successes {
		sum += count
	}
	return sum
}

// advance empties the parts of the window that have passed and cuts the credit to the new ceiling.
func (b *RetryBudget) advance(now time.Time) {
	bucket := bucketOf(now)
	for cleared := 0; b.bucket < bucket && cleared < budgetBuckets; cleared++ {
		b.bucket++
		b.successes[b.bucket%budgetBuckets] = 0
	}
	b.bucket = max(b.bucket, bucket)
	b.credit = min(b.credit, b.maximumCredit())
}

func bucketOf(now time.Time) int64 {
	return now.UnixNano() / int64(budgetWindow/budgetBuckets)
}
