package evacuation

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"dogwooddyke/state/position"
)

// Change is one record of the log about one data centre.
type Change struct {
	DataCentre string            `cbor:"1,keyasint" json:"dataCentre"`
	Position   position.Position `cbor:"2,keyasint" json:"position"`                      // of the record
	Withdrawn  bool              `cbor:"3,keyasint,omitempty" json:"withdrawn,omitempty"` // requests may be sent there again
}

// entry is what a table holds of one data centre.
type entry struct {
	change       Change
	knownSince   time.Time // of the order
	missingSince time.Time // time since which a restored log lacks the order; zero: it does not
	forgetAt     time.Time // of a withdrawn order
}

// Table holds the newest known order for each data centre; it is safe for concurrent use.
type Table struct {
	mutex   sync.Mutex
	entries map[string]*entry // by data centre
}

// NewTable returns a table without orders.
func NewTable() *Table { return &Table{entries: make(map[string]*entry)} }

// Apply applies a change unless a newer one of the same data centre is known, and reports whether it changed which data centres are evacuated.
func (t *Table) Apply(c Change, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.apply(c, now)
}

// apply is Apply for a caller that holds the mutex.
func (t *Table) apply(c Change, now time.Time) bool {
	e := t.entries[c.DataCentre]
	if e == nil {
		if len(t.entries) >= maximumDataCentres {
			return false
		}
		e = &entry{change: Change{Withdrawn: true}}
		t.entries[c.DataCentre] = e
	} else if !e.change.Position.Before(c.Position) {
		return false
	}
	changed := e.change.Withdrawn != c.Withdrawn
	if changed {
		e.knownSince = now
	}
	e.change, e.missingSince, e.forgetAt = c, time.Time{}, now.Add(forgetAfter)
	return changed
}

// Replace applies the list of all orders that was read from the log at a position, and returns the data centres whose orders it withdrew because the
// list lacks them. A restored log may lack an order that is younger than the copy: it is kept for a while, as the operators write it again.
func (t *Table) Replace(list []Change, at position.Position, now time.Time) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.DataCentre] = true
		t.apply(c, now)
	}
	var withdrawn []string
	for name, e := range t.entries {
		known := e.change.Position
		switch {
		case listed[name], e.change.Withdrawn, !known.Before(at):
		case known.Era < at.Era && now.Sub(e.knownSince) < maximumCopyAge:
			e.missingSince = now
		default:
			t.apply(Change{DataCentre: name, Position: at, Withdrawn: true}, now)
			withdrawn = append(withdrawn, name)
		}
	}
	slices.Sort(withdrawn)
	return withdrawn
}

// Expire withdraws the orders that a restored log has lacked for too long, forgets old withdrawn ones, and returns the data centres of the former.
func (t *Table) Expire(now time.Time) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var withdrawn []string
	for name, e := range t.entries {
		switch {
		case e.change.Withdrawn && now.After(e.forgetAt):
			delete(t.entries, name)
		case !e.missingSince.IsZero() && now.Sub(e.missingSince) >= maximumCopyAge:
			e.change.Withdrawn, e.missingSince, e.forgetAt = true, time.Time{}, now.Add(forgetAfter)
			withdrawn = append(withdrawn, name)
		}
	}
	slices.Sort(withdrawn)
	return withdrawn
}

// Contains reports whether a data centre is evacuated.
func (t *Table) Contains(dataCentre string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entries[dataCentre]
	return e != nil && !e.change.Withdrawn
}

// Count returns the number of evacuated data centres.
func (t *Table) Count() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count := 0
	for _, e := range t.entries {
		if !e.change.Withdrawn {
			count++
		}
	}
	return count
}

// Changes returns the newest known change of each data centre, withdrawn orders included, by name.
func (t *Table) Changes() []Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changes := make([]Change, 0, len(t.entries))
	for _, e := range t.entries {
		changes = append(changes, e.change)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return changes
}
