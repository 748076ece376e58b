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
	if len(b.entries) >= maximumBudgets {
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
	successes [budgetSlots]int
	slot      int64 // number of the current part of the window since the epoch
	began     time.Time
}

// NewRetryBudget returns a budget that allows a few retries before any success.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{credit: budgetInitial * budgetCost, slot: slotOf(now), began: now}
}

// RecordSuccess adds a finished answer.
func (b *RetryBudget) RecordSuccess(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	b.successes[b.slot%budgetSlots]++
	b.credit = min(b.credit+1, b.ceiling())
}

// Take waits for a retry's turn and takes it. Where the turn would not come within the wait, by the recent rate of successes, it
// returns false at once, and when to ask again.
func (b *RetryBudget) Take(ctx context.Context, longest time.Duration) (time.Time, bool) {
	limit := time.Now().Add(longest)
	at, taken := b.try(time.Now())
	if taken {
		return at, true
	}
	b.wait(1)
	defer b.wait(-1)
	for !at.IsZero() && !at.After(limit) {
		if err := wait.For(ctx, min(max(time.Until(at), budgetPause), budgetLook)); err != nil {
			return at, false
		}
		if at, taken = b.try(time.Now()); taken {
			return at, true
		}
	}
	if at.IsZero() {
		at = time.Now().Add(budgetWindow)
	}
	return at, false
}

// try takes a retry if there is one, or returns when there should be; zero: not while nothing succeeds.
func (b *RetryBudget) try(now time.Time) (time.Time, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	if b.credit >= budgetCost {
		b.credit -= budgetCost
		return now, true
	}
	recent := b.recent()
	if recent == 0 && now.Sub(b.began) < budgetWindow {
		return b.began.Add(budgetWindow), false // nothing can have succeeded yet
	}
	if recent == 0 {
		return time.Time{}, false
	}
	missing := budgetCost*(1+b.waiting) - b.credit
	return now.Add(budgetWindow * time.Duration(missing) / time.Duration(recent)), false
}

func (b *RetryBudget) wait(change int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.waiting += change
}

// ceiling bounds the credit by what the successes of the window allow.
func (b *RetryBudget) ceiling() int {
	return max(budgetInitial*budgetCost, b.recent())
}

func (b *RetryBudget) recent() int {
	sum := 0
	for _, count := range b.successes {
		sum += count
	}
	return sum
}

// advance empties the parts of the window that have passed and cuts the credit to the new ceiling.
func (b *RetryBudget) advance(now time.Time) {
	slot := slotOf(now)
	for steps := 0; b.slot < slot && steps < budgetSlots; steps++ {
		b.slot++
		b.successes[b.slot%budgetSlots] = 0
	}
	b.slot = max(b.slot, slot)
	b.credit = min(b.credit, b.ceiling())
}

func slotOf(now time.Time) int64 {
	return now.UnixNano() / int64(budgetWindow/budgetSlots)
}
