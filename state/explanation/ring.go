package explanation

import (
	"sync"
	"time"
)

// maximumSteps bounds the steps that are kept of one request; the first and the last ones are.
const maximumSteps = 48

// Step is one decision or event.
type Step struct {
	At     time.Time `json:"at"`
	Kind   string    `json:"kind"`
	Detail string    `json:"detail,omitempty"`
	Data   any       `json:"data,omitempty"` // such as the candidates of a choice
}

// Explanation is what was decided for one request, in order.
type Explanation struct {
	ID      string `json:"id"`
	Entry   string `json:"entry"`
	Steps   []Step `json:"steps"`
	Omitted int    `json:"omitted,omitempty"` // steps between the first and the last ones
}

// Ring keeps the last explanations; the oldest goes when a new one needs its place. It is safe for concurrent use.
type Ring struct {
	mutex sync.Mutex
	slots []*Explanation
	next  int
	byID  map[string]*Explanation
}

// NewRing returns a ring for the number of requests.
func NewRing(size int) *Ring {
	return &Ring{slots: make([]*Explanation, size), byID: make(map[string]*Explanation, size)}
}

// Add appends a step to the request's explanation, which begins with its first step.
func (r *Ring) Add(id, entry string, step Step) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.byID[id]
	if !ok {
		e = r.begin(id, entry)
	}
	if len(e.Steps) == maximumSteps {
		half := maximumSteps / 2
		copy(e.Steps[half:], e.Steps[half+1:])
		e.Steps = e.Steps[:maximumSteps-1]
		e.Omitted++
	}
	e.Steps = append(e.Steps, step)
}

// Find returns a copy of the request's explanation.
func (r *Ring) Find(id string) (Explanation, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.byID[id]
	if !ok {
		return Explanation{}, false
	}
	found := *e
	found.Steps = append([]Step(nil), e.Steps...)
	return found, true
}

func (r *Ring) begin(id, entry string) *Explanation {
	if former := r.slots[r.next]; former != nil {
		delete(r.byID, former.ID)
	}
	e := &Explanation{ID: id, Entry: entry}
	r.slots[r.next] = e
	r.byID[id] = e
	r.next = (r.next + 1) % len(r.slots)
	return e
}
