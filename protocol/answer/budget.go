package answer

import (
	"sync"
	"time"
)

// Budgets holds each entry's retry budget; the zero value is ready and safe for concurrent use.
type Budgets struct {
	mutex   sync.Mutex
	entries map[string]*Budget
}

// Of returns the budget of an entry; entries over the bound share one.
func (b *Budgets) Of(entry string) *Budget {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.entries == nil {
		b.entries = make(map[string]*Budget)
	}
	if budget, known := b.entries[entry]; known {
		return budget
	}
	if len(b.entries) >= maximumBudgets {
		entry = ""
	}
	budget, known := b.entries[entry]
	if !known {
		budget = NewBudget(time.Now())
		b.entries[entry] = budget
	}
	return budget
}

// Budget allows retries up to a fraction of recent successes; it is safe for concurrent use.
type Budget struct {
	mutex     sync.Mutex
	credit    float64 // retries; negative while reservations wait for successes
	successes [budgetSlots]int
	slot      int64 // number of the current part of the window since the epoch
}

// NewBudget returns a budget that allows a few retries before any success.
func NewBudget(now time.Time) *Budget {
	return &Budget{credit: budgetInitial, slot: slotOf(now)}
}

// Succeeded adds a finished answer.
func (b *Budget) Succeeded(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	b.successes[b.slot%budgetSlots]++
	b.credit = min(b.credit+budgetFraction, b.ceiling())
}

// Reserve takes one retry and returns when it may start; false means that it would not within the wait, and then the time is when to ask again.
func (b *Budget) Reserve(now time.Time, longest time.Duration) (time.Time, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(now)
	if b.credit >= 1 {
		b.credit--
		return now, true
	}
	perSecond := budgetFraction * float64(b.recent()) / budgetWindow.Seconds()
	if perSecond == 0 {
		return now.Add(budgetWindow), false
	}
	at := now.Add(time.Duration((1 - b.credit) / perSecond * float64(time.Second)))
	if at.Sub(now) > longest {
		return at, false
	}
	b.credit--
	return at, true
}

// ceiling bounds the credit by what the successes of the window allow.
func (b *Budget) ceiling() float64 {
	return max(budgetInitial, budgetFraction*float64(b.recent()))
}

func (b *Budget) recent() int {
	sum := 0
	for _, count := range b.successes {
		sum += count
	}
	return sum
}

// advance empties the parts of the window that have passed and cuts the credit to the new ceiling.
func (b *Budget) advance(now time.Time) {
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
