package memory

import "sync/atomic"

// Budget counts the bytes that are held against a limit; it is safe for concurrent use. A budget that is nil has no limit.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of so many bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Take counts so many bytes more, and reports whether they are within the limit; if not, it counts nothing.
func (b *Budget) Take(count int) bool {
	if b == nil {
		return true
	}
	if b.used.Add(int64(count)) <= b.limit {
		return true
	}
	b.used.Add(-int64(count))
	return false
}

// Return counts so many bytes less, which are not held any more.
func (b *Budget) Return(count int) {
	if b != nil {
		b.used.Add(-int64(count))
	}
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int {
	if b == nil {
		return 0
	}
	return int(b.used.Load())
}
