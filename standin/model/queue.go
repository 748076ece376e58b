package model

import "container/heap"

// queue is a heap of waiting generations, the first to be served on top.
type queue []*Generation

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position, q[j].position = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	g, _ := x.(*Generation)
	g.position = len(*q)
	*q = append(*q, g)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	g := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return g
}

func (q *queue) add(g *Generation) {
	g.phase = phaseWaiting
	heap.Push(q, g)
}

func (q *queue) take() *Generation {
	g, _ := heap.Pop(q).(*Generation)
	return g
}

func (q *queue) remove(g *Generation) { heap.Remove(q, g.position) }
