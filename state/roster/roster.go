package roster

import (
	"net/netip"
	"sync"
	"time"

	"dogwooddyke/state/position"
)

// Endpoint describes one start of the process of an endpoint.
type Endpoint struct {
	ID          string // identifies this start of the process; another process at the same address has another id
	Service     string
	Address     netip.AddrPort
	DataCentre  string
	Version     string // of the endpoint's software; empty: unknown
	Slots       int
	Leaving     bool      // by the list; the endpoint takes no new work, and finishes the work that it has
	Born        int64     // start time by the clock of the endpoint, in Unix milliseconds; zero if unknown
	LeavesSince time.Time `cbor:"-" json:"-"` // time since which the endpoint itself says that it is leaving; zero: it does not; set by the table
	ColdUntil   time.Time `cbor:"-" json:"-"` // end of the time in which the endpoint has just started and takes few requests; set by the table
}

// Change is one record of the log about one endpoint.
type Change struct {
	ID                string        // of the endpoint
	position.Position               // of the record
	Endpoint          *Endpoint     // new state of the endpoint; nil: the endpoint is gone
	ColdFor           time.Duration `cbor:",omitempty" json:",omitempty"` // for which the endpoint stays cold from now on; clocks of instances differ
}

// entry is what the table holds for the id of an endpoint.
type entry struct {
	endpoint     Endpoint
	position     position.Position // of the newest change applied
	gone         bool
	leavesSince  time.Time // since which the endpoint itself says that it is leaving; zero: it does not
	forgetAt     time.Time // time until which a gone endpoint is kept, so that stale updates are ignored
	notice       *Notice
	knownSince   time.Time // when the table learnt of the endpoint
	missingSince time.Time // time since which the endpoint is missing from the list though it may be alive; zero: not missing
	vanishedAt   time.Time // latest time at which the endpoint vanished from the list around an outage; zero: never
}

// Table holds the newest known state of each endpoint; it is safe for concurrent use, and it never holds its mutex while it calls a
// function of its user.
type Table struct {
	mutex   sync.Mutex
	entries map[string]*entry            // by id
	latest  position.Position            // of the newest change that affected which endpoints take work
	left    map[serviceVersion]time.Time // when an endpoint of the version left the list last
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[string]*entry), left: make(map[serviceVersion]time.Time)}
}

// Apply applies a change unless a newer one of the same endpoint was applied, and reports whether it changed which endpoints take work.
func (t *Table) Apply(c Change, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.apply(c, now)
}

// apply is Apply for a caller that holds the mutex.
func (t *Table) apply(c Change, now time.Time) bool {
	e := t.entries[c.ID]
	if e != nil && c.Before(e.position) {
		return false
	}
	if c.Endpoint == nil {
		return t.remove(e, c.Position, now)
	}
	same := false
	coldUntil := c.coldUntil(now)
	updated := e.withVersion(*c.Endpoint)
	switch {
	case e == nil, e.gone, !e.endpoint.sameProcess(c.Endpoint):
		if e != nil && !e.gone {
			t.noteLeft(&e.endpoint, now)
		}
		e.giveNotice(now)
		e = &entry{notice: newNotice(), knownSince: now}
		t.entries[c.ID] = e
	case e.endpoint.Leaving && !c.Endpoint.Leaving && c.Position == e.position:
		return false
	case c.Position == e.position:
		coldUntil = e.endpoint.ColdUntil // the record has been applied before
		same = e.endpoint.Leaving == updated.Leaving && e.endpoint.Version == updated.Version
	default:
		same = e.endpoint.Leaving == updated.Leaving && e.endpoint.Service == updated.Service && e.endpoint.Version == updated.Version && !e.becomesCold(coldUntil, now)
	}
	e.endpoint, e.position, e.missingSince = updated, c.Position, time.Time{}
	e.endpoint.ColdUntil = coldUntil
	e.updateNotice(now)
	if !same {
		t.latest = position.Latest(t.latest, c.Position)
	}
	return !same
}

// coldUntil returns when the endpoint of a change stops being cold; the zero time if it is not cold.
func (c *Change) coldUntil(now time.Time) time.Time {
	if c.ColdFor <= 0 {
		return time.Time{}
	}
	return now.Add(c.ColdFor)
}

// becomesCold reports whether a record that says until when the endpoint stays cold is news of that.
func (e *entry) becomesCold(until, now time.Time) bool {
	known := e.endpoint.ColdUntil
	return until.After(now) && (!known.After(now) || until.Sub(known) > coldTolerance)
}

// sameProcess reports whether two states are of the same start of an endpoint's process.
func (e *Endpoint) sameProcess(other *Endpoint) bool {
	return e.Born == other.Born && e.Address == other.Address
}

// remove marks an entry as gone, and reports whether it was not gone before; the caller holds the mutex.
func (t *Table) remove(e *entry, at position.Position, now time.Time) bool {
	if e == nil || e.gone {
		return false
	}
	e.gone, e.position, e.forgetAt = true, at, now.Add(forgetAfter)
	t.noteLeft(&e.endpoint, now)
	t.latest = position.Latest(t.latest, at)
	e.giveNotice(now)
	return true
}

// giveNotice announces that the endpoint is leaving or gone; the entry may be nil.
func (e *entry) giveNotice(at time.Time) {
	if e != nil {
		e.notice.give(at)
	}
}

// Replace applies a full endpoint list that was read at a position, and returns the changes of the endpoints that it removed because the
// list does not contain them. If many endpoints are not in the list, they stay for the grace period, because right after an outage of the
// list live endpoints may not have registered again yet. So do those that a restored log may lack because its copy is older than they are.
func (t *Table) Replace(list []Change, at position.Position, grace time.Duration, now time.Time) []Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.latest = position.Latest(t.latest, position.Position{Era: at.Era})
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
		t.merge(c, now)
	}
	var gone []Change
	unlisted := make(map[string]*entry)
	for id, e := range t.entries {
		if !listed[id] && !e.gone && e.position.Before(at) {
			unlisted[id] = e
		}
	}
	haveLapsed := t.manyLapsed(len(unlisted), now)
	for id, e := range unlisted {
		if e.missingSince.IsZero() {
			e.missingSince = now
		}
		stays := haveLapsed || e.mayBeMissingIn(at.Era, now)
		if !stays || now.Sub(e.missingSince) >= grace {
			t.remove(e, at, now)
			gone = append(gone, Change{ID: id, Position: at})
		}
	}
	return gone
}

// Expire removes the endpoints that have been missing from the list for the grace period, and forgets those that have been
// gone for longer than forgetAfter.
func (t *Table) Expire(grace time.Duration, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.forgetVersions(now)
	for id, e := range t.entries {
		switch {
		case e.gone && now.After(e.forgetAt):
			delete(t.entries, id)
		case !e.gone && !e.missingSince.IsZero() && now.Sub(e.missingSince) >= grace:
			t.remove(e, e.position, now)
		}
	}
}

// MarkLeaving marks an endpoint as leaving on information from another source than the endpoint list, and reports whether that changed
// its state.
func (t *Table) MarkLeaving(id string, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entries[id]
	if e == nil || e.gone || e.endpoint.Leaving {
		return false
	}
	e.endpoint.Leaving = true
	e.giveNotice(now)
	return true
}
