package routing

import (
	"slices"
	"time"
)

// lineKey names a line: requests of one workspace on one entry with one priority.
type lineKey struct {
	entry     string
	workspace string
	priority  int
}

// line holds waiting requests of one kind. They are served by their deadlines, and in the order in which they came where those are
// alike; one without a deadline counts as one of patientSpan.
type line struct {
	key     lineKey
	flights []*Request
	tried   uint64 // round in which its head was last tried
}

func (l *line) head() *Request { return l.flights[0] }

// add puts a flight behind those that are due no later.
func (l *line) add(f *Request) {
	l.flights = slices.Insert(l.flights, l.place(f), f)
}

// place counts the flights that are due no later than a new one.
func (l *line) place(f *Request) int {
	at := len(l.flights)
	for at > 0 && f.due().Before(l.flights[at-1].due()) {
		at--
	}
	return at
}

// due is when a waiting request should have started at the latest.
func (f *Request) due() time.Time {
	if f.ask.Deadline.IsZero() {
		return f.submitted.Add(patientSpan)
	}
	return f.ask.Deadline
}

func (l *line) remove(f *Request) {
	for i, other := range l.flights {
		if other == f {
			copy(l.flights[i:], l.flights[i+1:])
			l.flights[len(l.flights)-1] = nil
			l.flights = l.flights[:len(l.flights)-1]
			return
		}
	}
}

// urgency gives the priority after ageing; the least is served first.
func (f *Request) urgency(now time.Time) int {
	return f.ask.Priority - int(now.Sub(f.submitted)/ageStep)
}

// queue holds all lines of an instance.
type queue struct {
	lines  []*line // that are not empty
	byKey  map[lineKey]*line
	size   int
	counts map[string]int // by workspace
}

func newQueue() *queue {
	return &queue{byKey: make(map[lineKey]*line), counts: make(map[string]int)}
}

func (q *queue) push(f *Request) {
	key := lineKey{entry: f.ask.Entry, workspace: f.ask.Workspace, priority: f.ask.Priority}
	l := q.byKey[key]
	if l == nil {
		l = &line{key: key}
		q.byKey[key] = l
		q.lines = append(q.lines, l)
	}
	l.add(f)
	f.line = l
	q.size++
	q.counts[f.ask.Workspace]++
}

func (q *queue) remove(f *Request) {
	l := f.line
	l.remove(f)
	f.line = nil
	q.size--
	if q.counts[f.ask.Workspace]--; q.counts[f.ask.Workspace] == 0 {
		delete(q.counts, f.ask.Workspace)
	}
	if len(l.flights) > 0 {
		return
	}
	delete(q.byKey, l.key)
	for i, other := range q.lines {
		if other == l {
			q.lines[i] = q.lines[len(q.lines)-1]
			q.lines = q.lines[:len(q.lines)-1]
			return
		}
	}
}

// ahead counts the requests that are served before a new one of the line; lines that are held back by limits don't count.
func (q *queue) ahead(f *Request, held func(l *line) bool) int {
	own := 0
	if l := q.byKey[lineKey{f.ask.Entry, f.ask.Workspace, f.ask.Priority}]; l != nil {
		own = l.place(f)
	}
	total := own
	for _, l := range q.lines {
		if l.key.entry != f.ask.Entry || l.key.workspace == f.ask.Workspace && l.key.priority == f.ask.Priority || held(l) {
			continue
		}
		if l.key.priority < f.ask.Priority {
			total += len(l.flights)
		}
		if l.key.priority == f.ask.Priority {
			total += min(len(l.flights), own+1)
		}
	}
	return total
}
