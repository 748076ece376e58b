package ratelimit

import (
	"maps"
	"time"

	"dogwooddyke/state/process"
)

// News is what one answer of an endpoint said of its limit.
//
// At orders news by this instance's clock. An answer that names a limit counts as of its receipt. One that names none counts as of the time
// at which its request was sent: the answer may have been made before the endpoint named the limit that is known.
type News struct {
	Endpoint process.ID
	Limit    Limit
	At       time.Time
}

// Table holds the latest news of each endpoint. It is not safe for concurrent use.
type Table struct {
	latest map[process.ID]News
}

// NewTable returns a table that knows no limit.
func NewTable() *Table { return &Table{latest: make(map[process.ID]News)} }

// Apply records news unless newer ones of the endpoint are known, and reports whether the endpoint's limit has changed by them.
func (t *Table) Apply(n News) bool {
	known, found := t.latest[n.Endpoint]
	if !found && !n.Limit.Named || found && !n.At.After(known.At) {
		return false
	}
	t.latest[n.Endpoint] = n
	return n.Limit != known.Limit
}

// Limit returns the limit of an endpoint.
func (t *Table) Limit(e process.ID) Limit { return t.latest[e].Limit }

// Latest returns the latest news of an endpoint, and whether it has ever named a limit.
func (t *Table) Latest(e process.ID) (News, bool) {
	n, found := t.latest[e]
	return n, found
}

// Named returns the latest news of the endpoints that name a limit, in no particular order.
func (t *Table) Named() []News {
	named := make([]News, 0, len(t.latest))
	for _, n := range t.latest {
		if n.Limit.Named {
			named = append(named, n)
		}
	}
	return named
}

// Retain forgets the endpoints for which keep returns false.
func (t *Table) Retain(keep func(e process.ID) bool) {
	maps.DeleteFunc(t.latest, func(e process.ID, _ News) bool { return !keep(e) })
}
