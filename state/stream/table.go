package stream

import (
	"sync"
	"time"
)

// Beginning says what made the first event of a stream.
type Beginning struct {
	Service string
	Version string    // of the endpoint's software
	Until   time.Time // when its caller does not take the stream up any more
}

// Table holds the beginnings of streams until they can't be taken up any more; it is safe for concurrent use. When it is full, any one yields.
type Table struct {
	mutex      sync.Mutex
	size       int
	beginnings map[ID]Beginning
}

// NewTable returns an empty table for so many streams.
func NewTable(size int) *Table {
	return &Table{size: size, beginnings: make(map[ID]Beginning)}
}

// Add adds the beginning of a stream. A stream has one beginning, so another one only extends the time for which it is kept.
func (t *Table) Add(id ID, b Beginning, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.beginnings[id]
	if found && now.Before(known.Until) {
		if b.Until.After(known.Until) {
			known.Until = b.Until
			t.beginnings[id] = known
		}
		return
	}
	if !found && len(t.beginnings) >= t.size {
		t.makeRoom(now)
	}
	t.beginnings[id] = b
}

// makeRoom drops what is over, or else any one; the caller holds the mutex.
func (t *Table) makeRoom(now time.Time) {
	t.expire(now)
	for id := range t.beginnings {
		if len(t.beginnings) < t.size {
			return
		}
		delete(t.beginnings, id)
	}
}

// Find returns the beginning of a stream, and whether it is known.
func (t *Table) Find(id ID, now time.Time) (Beginning, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	b, found := t.beginnings[id]
	return b, found && now.Before(b.Until)
}

// Expire drops the streams that can't be taken up any more.
func (t *Table) Expire(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.expire(now)
}

func (t *Table) expire(now time.Time) {
	for id, b := range t.beginnings {
		if !now.Before(b.Until) {
			delete(t.beginnings, id)
		}
	}
}

// Len returns the number of streams.
func (t *Table) Len() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.beginnings)
}

// Visit calls a function for each stream that can still be taken up, in no particular order. The function must not call the table.
func (t *Table) Visit(now time.Time, visit func(id ID, b Beginning)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, b := range t.beginnings {
		if now.Before(b.Until) {
			visit(id, b)
		}
	}
}
