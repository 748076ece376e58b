package standin

import "sync"

// tally counts by key; beyond its bound it forgets the oldest keys but keeps the sums.
type tally struct {
	mutex  sync.Mutex
	counts map[string]int
	order  []string // of the keys, a ring once it is full
	oldest int
	sum    int
	again  int // counts beyond the first of a key
}

func newTally() *tally { return &tally{counts: make(map[string]int)} }

// add counts the key once more and returns its count.
func (t *tally) add(key string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sum++
	if t.counts[key] > 0 {
		t.again++
		t.counts[key]++
		return t.counts[key]
	}
	t.remember(key)
	t.counts[key] = 1
	return 1
}

func (t *tally) remember(key string) {
	if len(t.order) < maximumCounted {
		t.order = append(t.order, key)
		return
	}
	delete(t.counts, t.order[t.oldest])
	t.order[t.oldest] = key
	t.oldest = (t.oldest + 1) % maximumCounted
}

func (t *tally) count(key string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.counts[key]
}

func (t *tally) total() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.sum
}

// doubles returns how many counts were not the first of their key.
func (t *tally) doubles() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.again
}
