package routing

import (
	"slices"
	"time"
)

// lineKey names a line: requests of one workspace on one entry with one priority.
type flowKey struct {
	entry     string
	workspace string
	priority  int
}

// line holds waiting requests of one kind. They are served by their deadlines, and in the order in which they came where those are
// alike; one without a deadline counts as one of patientSpan.
type flow struct {
	key        flowKey
	requests   []*Request
	triedRound uint64 // round in which its head was last tried
}

func (f *flow) first() *Request { return f.requests[0] }

// add puts a flight behind those that are due no later.
func (f *flow) add(r *Request) {
	f.requests = slices.Insert(f.requests, f.position(r), r)
}

// place counts the flights that are due no later than a new one.
func (f *flow) position(r *Request) int {
	at := len(f.requests)
	for at > 0 && r.latestStart().Before(f.requests[at-1].latestStart()) {
		at--
	}
	return at
}

// due is when a waiting request should have started at the latest.
func (r *Request) latestStart() time.Time {
	if r.spec.Deadline.IsZero() {
		return r.submitted.Add(defaultPatience)
	}
	return r.spec.Deadline
}

func (f *flow) remove(r *Request) {
	for i, other := range f.requests {
		if other == r {
			copy(f.requests[i:], f.requests[i+1:])
			f.requests[len(f.requests)-1] = nil
			f.requests = f.requests[:len(f.requests)-1]
			return
		}
	}
}

// urgency gives the priority after ageing; the least is served first.
func (r *Request) agedPriority(now time.Time) int {
	return r.spec.Priority - int(now.Sub(r.submitted)/ageingStep)
}

// queue holds all lines of an instance.
type queue struct {
	flows           []*flow // that are not empty
	byKey           map[flowKey]*flow
	size            int
	workspaceCounts map[string]int // by workspace
}

func newQueue() *queue {
	return &queue{byKey: make(map[flowKey]*flow), workspaceCounts: make(map[string]int)}
}

func (q *queue) add(r *Request) {
	key := flowKey{entry: r.spec.Entry, workspace: r.spec.Workspace, priority: r.spec.Priority}
	f := q.byKey[key]
	if f == nil {
		f = &flow{key: key}
		q.byKey[key] = f
		q.flows = append(q.flows, f)
	}
	f.add(r)
	r.flow = f
	q.size++
	q.workspaceCounts[r.spec.Workspace]++
}

func (q *queue) remove(r *Request) {
	f := r.flow
	f.remove(r)
	r.flow = nil
	q.size--
	if q.workspaceCounts[r.spec.Workspace]--; q.workspaceCounts[r.spec.Workspace] == 0 {
		delete(q.workspaceCounts, r.spec.Workspace)
	}
	if len(f.requests) > 0 {
		return
	}
	delete(q.byKey, f.key)
	for i, other := range q.flows {
		if other == f {
			q.flows[i] = q.flows[len(q.flows)-1]
			q.flows = q.flows[:len(q.flows)-1]
			return
		}
	}
}

// ahead counts the requests that are served before a new one of the line; lines that are held back by limits don't count.
func (q *queue) countAhead(r *Request, limited func(f *flow) bool) int {
	ownPosition := 0
	if f := q.byKey[flowKey{r.spec.Entry, r.spec.Workspace, r.spec.Priority}]; f != nil {
		ownPosition = f.position(r)
	}
	total := ownPosition
	for _, f := range q.flows {
		if f.key.entry != r.spec.Entry || f.key.workspace == r.spec.Workspace && f.key.priority == r.spec.Priority || limited(f) {
			continue
		}
		if f.key.priority < r.spec.Priority {
			total += len(f.requests)
		}
		if f.key.priority == r.spec.Priority {
			total += min(len(f.requests), ownPosition+1)
		}
	}
	return total
}
