package bench

import (
	"container/heap"
	"time"
)

// event is something to run at a time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// schedule is a heap of events, the first on top.
type schedule []*event

func (s schedule) Len() int { return len(s) }

func (s schedule) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].sequence < s[j].sequence
	}
	return s[i].at.Before(s[j].at)
}

func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *schedule) Push(x any) {
	e, _ := x.(*event)
	*s = append(*s, e)
}

// Pop implements heap.Interface.
func (s *schedule) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	return e
}

func (r *driver) at(at time.Time, run func()) {
	r.sequence++
	heap.Push(&r.events, &event{at: at, sequence: r.sequence, run: run})
}

// every runs the function again and again, first after the offset.
func (r *driver) every(offset, period time.Duration, run func()) {
	r.at(r.now.Add(offset), func() {
		run()
		r.every(period, period, run)
	})
}
