package roster

import (
	"net/netip"
	"sync"
	"time"
)

// Endpoint is one start of one endpoint's process.
type Endpoint struct {
	ID         string // names the start: another process at the same address has another
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	Leaving    bool  // serves what it has and takes no new work
	Born       int64 // start by its own clock, in Unix milliseconds; zero if it does not say
}

// Change is one record about one endpoint, in the order of the log that it was read from.
type Change struct {
	ID       string
	Offset   int64
	Endpoint *Endpoint // nil: the endpoint is gone
}

// known is what the table holds under an id.
type known struct {
	endpoint Endpoint
	offset   int64
	gone     bool
	forget   time.Time     // a gone endpoint is kept until then, against late news of it
	notice   chan struct{} // closed when the endpoint is leaving or gone
	noticed  bool
	missing  time.Time // first seen to be missing from the list though it may have lapsed only; zero: not missing
	vanished time.Time // latest departure around an outage of the list; zero: none
}

// Table is the newest known state of each endpoint; it is safe for concurrent use, and its lock is held for no call out of it.
type Table struct {
	mutex   sync.Mutex
	entries map[string]*known
	latest  int64 // offset of the newest change of who takes work
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[string]*known)}
}

// Apply takes in a change unless a newer one of the endpoint is known, and tells whether it changed who takes work.
func (t *Table) Apply(c Change, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.apply(c, now)
}

func (t *Table) apply(c Change, now time.Time) bool {
	k := t.entries[c.ID]
	if k != nil && c.Offset < k.offset {
		return false
	}
	if c.Endpoint == nil {
		return t.remove(k, c.Offset, now)
	}
	switch {
	case k == nil, k.gone, k.endpoint.Born != c.Endpoint.Born, k.endpoint.Address != c.Endpoint.Address:
		k.leave()
		k = &known{notice: make(chan struct{})}
		t.entries[c.ID] = k
	case k.endpoint.Leaving && !c.Endpoint.Leaving && c.Offset <= k.offset:
		return false
	}
	same := k.offset > 0 && k.endpoint.Leaving == c.Endpoint.Leaving && k.endpoint.Service == c.Endpoint.Service
	k.endpoint, k.offset, k.missing = *c.Endpoint, c.Offset, time.Time{}
	if c.Endpoint.Leaving {
		k.leave()
	}
	if !same {
		t.latest = max(t.latest, c.Offset)
	}
	return !same
}

func (t *Table) remove(k *known, offset int64, now time.Time) bool {
	if k == nil || k.gone {
		return false
	}
	k.gone, k.offset, k.forget = true, offset, now.Add(forgetAfter)
	t.latest = max(t.latest, offset)
	k.leave()
	return true
}

func (k *known) leave() {
	if k != nil && !k.noticed {
		k.noticed = true
		close(k.notice)
	}
}

// Replace takes in a full list that was read at the offset. Where it lacks many endpoints, they stay for the grace period: right
// after an outage of the list they may only not be back yet. It returns the departures.
func (t *Table) Replace(list []Change, offset int64, grace time.Duration, now time.Time) []Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
		t.apply(c, now)
	}
	var gone []Change
	lacking := make(map[string]*known)
	for id, k := range t.entries {
		if !listed[id] && !k.gone && k.offset < offset {
			lacking[id] = k
		}
	}
	mass := t.mass(len(lacking), now)
	for id, k := range lacking {
		if k.missing.IsZero() {
			k.missing = now
		}
		if !mass || now.Sub(k.missing) >= grace {
			t.remove(k, offset, now)
			gone = append(gone, Change{ID: id, Offset: offset})
		}
	}
	return gone
}

// Expire drops the endpoints that have been missing for the grace period, and forgets those that are long gone.
func (t *Table) Expire(grace time.Duration, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, k := range t.entries {
		switch {
		case k.gone && now.After(k.forget):
			delete(t.entries, id)
		case !k.gone && !k.missing.IsZero() && now.Sub(k.missing) >= grace:
			t.remove(k, k.offset, now)
		}
	}
}

// MarkLeaving marks an endpoint as leaving by news from elsewhere than the list.
func (t *Table) MarkLeaving(id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k := t.entries[id]
	if k == nil || k.gone || k.endpoint.Leaving {
		return false
	}
	k.endpoint.Leaving = true
	k.leave()
	return true
}

// List returns the endpoints that are not gone.
func (t *Table) List() []Endpoint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	list := make([]Endpoint, 0, len(t.entries))
	for _, k := range t.entries {
		if !k.gone {
			list = append(list, k.endpoint)
		}
	}
	return list
}

// Snapshot returns the endpoints that are not gone as changes that another table can apply.
func (t *Table) Snapshot() []Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changes := make([]Change, 0, len(t.entries))
	for id, k := range t.entries {
		if !k.gone {
			e := k.endpoint
			changes = append(changes, Change{ID: id, Offset: k.offset, Endpoint: &e})
		}
	}
	return changes
}

// LatestOffset returns the offset of the newest change of who takes work.
func (t *Table) LatestOffset() int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.latest
}

// GoneOrLeaving returns the ids of endpoints that left lately, with those that are leaving.
func (t *Table) GoneOrLeaving() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var ids []string
	for id, k := range t.entries {
		if k.gone || k.endpoint.Leaving {
			ids = append(ids, id)
		}
	}
	return ids
}

// Lookup returns the endpoint of a service at an address that takes work, and the channel that is closed when it no longer does.
func (t *Table) Lookup(service string, address netip.AddrPort) (Endpoint, <-chan struct{}, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var best *known
	for _, k := range t.entries {
		fits := !k.gone && k.endpoint.Service == service && k.endpoint.Address == address
		if fits && (best == nil || k.offset > best.offset) {
			best = k
		}
	}
	if best == nil {
		return Endpoint{}, nil, false
	}
	return best.endpoint, best.notice, true
}
