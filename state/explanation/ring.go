package explanation

import (
	"sync"
	"time"
)

// maximumSteps is the number of steps that are kept of one request; if there are more, those in the middle are dropped.
const maximumSteps = 48

// Step is one decision on a request, or one event of it.
type Step struct {
	At     time.Time `json:"at"`
	Kind   string    `json:"kind"` // name of the decision or event
	Detail string    `json:"detail,omitempty"`
	Data   any       `json:"data,omitempty"` // details of the decision, such as the candidates of a choice
}

// Explanation is the list of decisions and events of one request, in order.
type Explanation struct {
	ID      string `json:"id"`
	Entry   string `json:"entry"`
	Steps   []Step `json:"steps"`
	Omitted int    `json:"omitted,omitempty"` // number of dropped steps between the first and the last ones
}

// Ring is a ring buffer of the explanations of the last requests: a new one replaces the oldest when all slots are in use. It is safe
// for concurrent use.
type Ring struct {
	mutex sync.Mutex
	slots []*Explanation
	next  int // index of the slot for the next new explanation
	byID  map[string]*Explanation
}

// NewRing returns a ring that keeps the explanations of up to size requests.
func NewRing(size int) *Ring {
	return &Ring{slots: make([]*Explanation, size), byID: make(map[string]*Explanation, size)}
}

// Add appends a step to the request's explanation, which it creates with the first step.
func (r *Ring) Add(id, entry string, step Step) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.byID[id]
	if !ok {
		e = r.create(id, entry)
	}
	if len(e.Steps) == maximumSteps {
		half := maximumSteps / 2
		copy(e.Steps[half:], e.Steps[half+1:])
		e.Steps = e.Steps[:maximumSteps-1]
		e.Omitted++
	}
	e.Steps = append(e.Steps, step)
}

// Find returns a copy of the request's explanation, or false if the ring does not hold it.
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

// create puts a new explanation into the next slot, in place of the oldest if all slots are in use.
func (r *Ring) create(id, entry string) *Explanation {
	if oldest := r.slots[r.next]; oldest != nil {
		delete(r.byID, oldest.ID)
	}
	e := &Explanation{ID: id, Entry: entry}
	r.slots[r.next] = e
	r.byID[id] = e
	r.next = (r.next + 1) % len(r.slots)
	return e
}
