package roster

import (
	"net/netip"
	"time"

	"dogwooddyke/state/position"
)

// List returns the endpoints that are not gone.
func (t *Table) List() []Endpoint {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	list := make([]Endpoint, 0, len(t.entries))
	for _, e := range t.entries {
		if !e.gone {
			endpoint := e.endpoint
			endpoint.LeavesSince = e.leavesSince
			list = append(list, endpoint)
		}
	}
	return list
}

// Services returns the names of the services of the endpoints that are not gone, by address.
func (t *Table) Services() map[netip.AddrPort]string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	services := make(map[netip.AddrPort]string, len(t.entries))
	for _, e := range t.entries {
		if !e.gone {
			services[e.endpoint.Address] = e.endpoint.Service
		}
	}
	return services
}

// TakesWork reports whether an endpoint at an address is neither gone nor leaving.
func (t *Table) TakesWork(address netip.AddrPort) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, e := range t.entries {
		if !e.gone && !e.isLeaving() && e.endpoint.Address == address {
			return true
		}
	}
	return false
}

// Snapshot returns the endpoints that are not gone, as changes that another table can apply.
func (t *Table) Snapshot(now time.Time) []Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changes := make([]Change, 0, len(t.entries))
	for id, e := range t.entries {
		if !e.gone {
			endpoint := e.endpoint
			changes = append(changes, Change{ID: id, Position: e.position, Endpoint: &endpoint, ColdFor: max(endpoint.ColdUntil.Sub(now), 0)})
		}
	}
	return changes
}

// Latest returns the position of the newest change that affected which endpoints take work, or the beginning of the era of the latest list
// if no change is newer.
func (t *Table) Latest() position.Position {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.latest
}

// IsMissing reports whether an endpoint is missing from the list but may be alive.
func (t *Table) IsMissing(id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entries[id]
	return e != nil && !e.gone && !e.missingSince.IsZero()
}

// MissingCount returns the number of endpoints that are missing from the list but may be alive.
func (t *Table) MissingCount() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count := 0
	for _, e := range t.entries {
		if !e.gone && !e.missingSince.IsZero() {
			count++
		}
	}
	return count
}

// GoneOrLeaving returns the ids of the endpoints that are leaving, and of those that are gone but not yet forgotten.
func (t *Table) GoneOrLeaving() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var ids []string
	for id, e := range t.entries {
		if e.gone || e.endpoint.Leaving {
			ids = append(ids, id)
		}
	}
	return ids
}

// Lookup returns the newest endpoint of a service at an address that is not gone, and its notice; it reports whether there is such an endpoint.
func (t *Table) Lookup(service string, address netip.AddrPort) (Endpoint, *Notice, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var best *entry
	for _, e := range t.entries {
		matches := !e.gone && e.endpoint.Service == service && e.endpoint.Address == address
		if matches && (best == nil || best.position.Before(e.position)) {
			best = e
		}
	}
	if best == nil {
		return Endpoint{}, nil, false
	}
	return best.endpoint, best.notice, true
}
