package model

import (
	"slices"
	"time"
)

// naive is the model again in the most obvious way: plain lists that are searched and summed anew for each question.
type naive struct {
	config   Config
	all      []*naiveSequence // in the order of their starts
	cached   []uint64         // most recently used first
	ends     time.Time
	stepping bool
	happened []naiveEvent
}

type naiveSequence struct {
	id                        string
	priority, prompt, length  int
	blocks                    []uint64
	emitted, prefill, entered int // entered: order of admission, 0 when not running
	ended                     bool
}

type naiveEvent struct {
	ID    string
	Kind  Kind
	Index int
	At    time.Time
}

func (n *naive) running() []*naiveSequence {
	return n.filter(func(s *naiveSequence) bool { return s.entered > 0 && !s.ended }, func(a, b *naiveSequence) int {
		return a.entered - b.entered
	})
}

// waiting returns the sequences that wait, the first to be served first.
func (n *naive) waiting() []*naiveSequence {
	return n.filter(func(s *naiveSequence) bool { return s.entered == 0 && !s.ended }, func(a, b *naiveSequence) int {
		return a.priority - b.priority
	})
}

func (n *naive) filter(keep func(*naiveSequence) bool, compare func(a, b *naiveSequence) int) []*naiveSequence {
	found := []*naiveSequence{}
	for _, s := range n.all {
		if keep(s) {
			found = append(found, s)
		}
	}
	slices.SortStableFunc(found, compare)
	return found
}

func (n *naive) used() int {
	used := 0
	for _, s := range n.running() {
		used += s.prompt + s.emitted
	}
	return used
}

func (n *naive) start(s *naiveSequence, now time.Time) {
	n.all = append(n.all, s)
	if !n.stepping {
		n.begin(now)
	}
}

func (n *naive) cancel(id string) {
	for _, s := range n.all {
		if s.id == id {
			s.ended = true
		}
	}
}

func (n *naive) step(now time.Time) []naiveEvent {
	n.happened = nil
	for n.stepping && !n.ends.After(now) {
		n.emitAll()
		n.begin(n.ends)
	}
	return n.happened
}

func (n *naive) begin(now time.Time) {
	for len(n.waiting()) > 0 && len(n.running()) < n.config.Slots && n.fits(n.waiting()[0]) {
		n.enter(n.waiting()[0])
	}
	for len(n.running()) > 1 && n.used()+len(n.running()) > n.config.Capacity {
		last := n.running()[0]
		for _, s := range n.all {
			if slices.Contains(n.running(), s) && s.priority >= last.priority {
				last = s
			}
		}
		last.entered = 0
		n.happened = append(n.happened, naiveEvent{last.id, KindPreempted, last.emitted, now})
	}
	n.stepping = len(n.running()) > 0
	processed := 0
	for _, s := range n.running() {
		for s.prefill > 0 && processed < n.config.PrefillChunk {
			s.prefill--
			processed++
		}
	}
	n.ends = now.Add(n.config.stepTime(len(n.running()), n.used(), processed))
}

func (n *naive) fits(s *naiveSequence) bool {
	return n.used()+s.prompt+s.emitted+len(n.running())+1 <= n.config.Capacity
}

func (n *naive) enter(s *naiveSequence) {
	last := 0
	for _, other := range n.all {
		last = max(last, other.entered)
	}
	s.entered = last + 1
	s.prefill = s.prompt + s.emitted
	for _, block := range s.blocks {
		if !slices.Contains(n.cached, block) {
			break
		}
		n.touch(block)
		s.prefill -= promptBlockTokens
	}
	s.prefill = max(s.prefill, 1)
}

func (n *naive) touch(block uint64) {
	n.cached = slices.DeleteFunc(n.cached, func(other uint64) bool { return other == block })
	n.cached = slices.Insert(n.cached, 0, block)
	n.cached = n.cached[:min(len(n.cached), n.config.CacheBlocks)]
}

func (n *naive) emitAll() {
	for _, s := range n.running() {
		if s.prefill > 0 {
			continue
		}
		for _, block := range s.blocks {
			if s.emitted == 0 {
				n.touch(block)
			}
		}
		kind := KindToken
		s.emitted++
		if s.emitted == s.length {
			kind, s.ended = KindLast, true
		}
		n.happened = append(n.happened, naiveEvent{s.id, kind, s.emitted - 1, n.ends})
	}
}
