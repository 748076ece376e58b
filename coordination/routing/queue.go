package routing

import (
	"slices"
	"time"
)

// flowKey identifies a flow.
type flowKey struct {
	entry     string
	workspace string
	priority  int
	version   string // that the requests need; empty: any
}

// needsOtherVersion reports whether no endpoint can take requests of both flows.
func (k flowKey) needsOtherVersion(other flowKey) bool {
	return k.version != "" && other.version != "" && k.version != other.version
}

// flow is the queue of the requests of one workspace on one entry with one priority that need the same version. They are served by earliest deadline, and in order
// of arrival where deadlines are equal; a request without a deadline is treated as if it had one of defaultPatience.
type flow struct {
	key        flowKey
	requests   []*Request
	triedRound uint64 // latest round of Admit in which its first request found no endpoint
}

func (f *flow) first() *Request { return f.requests[0] }

// add inserts a request after those whose latest start is the same or earlier.
func (f *flow) add(r *Request) {
	f.requests = slices.Insert(f.requests, f.position(r), r)
}

// position returns the index at which a request is to be inserted.
func (f *flow) position(r *Request) int {
	at := len(f.requests)
	for at > 0 && r.latestStart().Before(f.requests[at-1].latestStart()) {
		at--
	}
	return at
}

// latestStart returns the deadline of the request, or defaultPatience after its submission if it has none.
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

// agedPriority returns the priority less one level per ageingStep waited; the lowest is served first.
func (r *Request) agedPriority(now time.Time) int {
	return r.spec.Priority - int(now.Sub(r.submitted)/ageingStep)
}

// queue holds the queued requests of an instance.
type queue struct {
	flows           []*flow // flows with queued requests, in no particular order
	byKey           map[flowKey]*flow
	size            int
	workspaceCounts map[string]int // queued requests by workspace
}

func newQueue() *queue {
	return &queue{byKey: make(map[flowKey]*flow), workspaceCounts: make(map[string]int)}
}

func (q *queue) add(r *Request) {
	key := keyOf(r.spec)
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

// all returns the queued requests.
func (q *queue) all() []*Request {
	requests := make([]*Request, 0, q.size)
	for _, f := range q.flows {
		requests = append(requests, f.requests...)
	}
	return requests
}

// keyOf returns the key of the flow that a request belongs to.
func keyOf(s *RequestSpec) flowKey {
	return flowKey{entry: s.Entry, workspace: s.Workspace, priority: s.Priority, version: s.Version}
}

// countAhead returns the number of queued requests that are expected to be served before a new one. Flows that are delayed by limits
// don't count, nor do those that need another version; other flows of the same priority take turns with the request's own flow.
func (q *queue) countAhead(r *Request, limited func(f *flow) bool) int {
	own, ownPosition := keyOf(r.spec), 0
	if f := q.byKey[own]; f != nil {
		ownPosition = f.position(r)
	}
	total := ownPosition
	for _, f := range q.flows {
		if f.key == own || f.key.entry != own.entry || f.key.needsOtherVersion(own) || limited(f) {
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
