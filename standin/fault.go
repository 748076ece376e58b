package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"
)

// ErrFault reports a fault that the stand-in can't have.
var ErrFault = errors.New("invalid fault")

// FaultKind names what goes wrong.
type FaultKind string

// The kinds of fault; each stand-in has those that make sense for it.
const (
	FaultDie        FaultKind = "die"        // connections are cut, state is lost, connections are refused until the time
	FaultStall      FaultKind = "stall"      // no progress, connections stay alive
	FaultSilence    FaultKind = "silence"    // connections open now go silent for good
	FaultDropAnswer FaultKind = "dropAnswer" // the effect takes place, the answer is cut; value: how many times
	FaultLag        FaultKind = "lag"        // value: seconds
	FaultSlow       FaultKind = "slow"       // value: factor
	FaultOutage     FaultKind = "outage"     // 503
	FaultPause      FaultKind = "pause"      // accepts, does nothing until the time
	FaultDuplicate  FaultKind = "duplicate"  // value: events of each generation that come twice
	FaultLose       FaultKind = "lose"       // value: events of each generation that are left out; elsewhere requests cut before their effect
	FaultReorder    FaultKind = "reorder"    // value: events of each generation that swap places with the next
	FaultForeign    FaultKind = "foreign"    // value: events of each generation that carry another generation's id
	FaultLimit      FaultKind = "limit"      // value: requests a second that an engine says it takes
	FaultLeave      FaultKind = "leave"      // an engine's state becomes leaving
	FaultCrashOn    FaultKind = "crashOn"    // dies for a while when it runs a request with the text in its prompt, path or body; value: tokens that it sends first, of a service a part of the body
)

// Fault is one thing that goes wrong until a time; a zero time lasts until the faults are cleared.
type Fault struct {
	Kind  FaultKind `json:"kind"`
	Until time.Time `json:"until"`
	Value float64   `json:"value"`
	Text  string    `json:"text,omitempty"`
}

// ParseFault reads a fault from JSON; errors wrap ErrFault and name the field.
func ParseFault(body []byte) (Fault, error) {
	var fault Fault
	if err := json.Unmarshal(body, &fault); err != nil {
		return Fault{}, fmt.Errorf("%w: body: %w", ErrFault, err)
	}
	return fault, nil
}

// check fills in the default value and refuses what the stand-in can't do.
func (f *Fault) check(kinds []FaultKind, now time.Time) error {
	if !slices.Contains(kinds, f.Kind) {
		return fmt.Errorf("%w: kind: %q is none of %v", ErrFault, f.Kind, kinds)
	}
	if f.Until.IsZero() && f.needsTime() {
		return fmt.Errorf("%w: until: %s needs a time", ErrFault, f.Kind)
	}
	if f.Kind == FaultCrashOn && f.Text == "" {
		return fmt.Errorf("%w: text: %s needs one", ErrFault, f.Kind)
	}
	if f.Until.Sub(now) > maximumFaultTime {
		return fmt.Errorf("%w: until: more than %s ahead", ErrFault, maximumFaultTime)
	}
	if f.counted() && f.Value == 0 {
		f.Value = 1
	}
	lowest, highest := f.bounds()
	if math.IsNaN(f.Value) || f.Value < lowest || f.Value > highest {
		return fmt.Errorf("%w: value: %v is not within %v to %v", ErrFault, f.Value, lowest, highest)
	}
	if f.counted() && f.Value != math.Trunc(f.Value) {
		return fmt.Errorf("%w: value: %v is not a whole number", ErrFault, f.Value)
	}
	return nil
}

func (f *Fault) needsTime() bool {
	return f.Kind == FaultDie || f.Kind == FaultStall || f.Kind == FaultPause
}

// counted reports whether the value says how many times.
func (f *Fault) counted() bool {
	return f.Kind == FaultDropAnswer || f.perturbs()
}

// perturbs reports whether the fault changes the events of streams.
func (f *Fault) perturbs() bool {
	return slices.Contains(perturbations, f.Kind)
}

var perturbations = []FaultKind{FaultDuplicate, FaultLose, FaultReorder, FaultForeign}

func (f *Fault) bounds() (lowest, highest float64) {
	switch {
	case f.counted():
		return 1, maximumFaultUses
	case f.Kind == FaultLag:
		return 0, maximumLag
	case f.Kind == FaultCrashOn:
		return 0, maximumFaultUses
	case f.Kind == FaultLimit:
		return 0, maximumRateLimit
	case f.Kind == FaultSlow:
		return 1 / float64(maximumSlowness), maximumSlowness
	default:
		return math.Inf(-1), math.Inf(1)
	}
}

// faults holds the faults in force, one of each kind at most.
type faults struct {
	mutex   sync.Mutex
	active  map[FaultKind]Fault
	changed chan struct{} // closed and replaced at each change
}

func newFaults() *faults {
	return &faults{active: make(map[FaultKind]Fault), changed: make(chan struct{})}
}

func (f *faults) set(fault Fault) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.active[fault.Kind] = fault
	f.tell()
}

func (f *faults) clear() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	clear(f.active)
	f.tell()
}

func (f *faults) tell() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// change returns a channel that is closed at the next change.
func (f *faults) change() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

// find returns the fault of the kind if it is in force.
func (f *faults) find(kind FaultKind) (Fault, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.look(kind)
}

func (f *faults) look(kind FaultKind) (Fault, bool) {
	fault, ok := f.active[kind]
	if !ok || !fault.Until.IsZero() && !time.Now().Before(fault.Until) {
		return Fault{}, false
	}
	return fault, true
}

// take uses up one of a counted fault and reports whether there was one left.
func (f *faults) take(kind FaultKind) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	fault, ok := f.look(kind)
	if !ok {
		return false
	}
	fault.Value--
	f.active[kind] = fault
	if fault.Value < 1 {
		delete(f.active, kind)
	}
	return true
}

// wait returns when the fault of the kind is over, or false when the stand-in closes.
func (f *faults) wait(kind FaultKind, closed <-chan struct{}) bool {
	for {
		f.mutex.Lock()
		fault, ok := f.look(kind)
		changed := f.changed
		f.mutex.Unlock()
		if !ok {
			return true
		}
		if !sleep(fault.Until, changed, closed) {
			return false
		}
	}
}

// sleep returns at the time (never, if zero) or after a change; false when closed.
func sleep(until time.Time, changed, closed <-chan struct{}) bool {
	var over <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		over = timer.C
	}
	select {
	case <-over:
	case <-changed:
	case <-closed:
		return false
	}
	return true
}
