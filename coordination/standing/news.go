package standing

import (
	"time"

	"dogwooddyke/state/statement"
)

// Notices returns what endpoints have said to this instance, for its next report: what is new and, in a full report, all that holds.
func (x *Exchange) Notices(full bool, now time.Time) []Notice {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var notices []Notice
	for p, st := range x.states {
		if len(notices) == maximumNotices || st.reportsLeft == 0 && !full {
			continue
		}
		n := Notice{Endpoint: p.Address, Start: p.Start}
		if st.restOfAll {
			n.RestFor = min(max(st.restUntil.Sub(now), 0), statement.MaximumRest)
		}
		switch {
		case st.told && st.departure.confirmed:
			n.Departure = Leaves
		case st.told && st.reportsLeft > 0:
			n.Departure = Stays
		}
		st.reportsLeft = max(st.reportsLeft-1, 0)
		if n.RestFor > 0 || n.Departure != DepartureUnknown {
			notices = append(notices, n)
		}
	}
	return notices
}

// Receive applies what endpoints have said to another instance.
func (x *Exchange) Receive(notices []Notice, source string, now time.Time) {
	x.mutex.Lock()
	var changed []Endpoint
	for _, n := range notices {
		p := n.process()
		e, known := x.endpoints[p]
		if !known {
			continue // a later full report repeats what still holds
		}
		st := x.states[p]
		if st == nil {
			st = &state{}
			x.states[p] = st
		}
		x.rest(e, st, n.RestFor, false, source, now)
		switch n.Departure {
		case Leaves:
			st.departure.tell(toldLifetime, now)
		case Stays:
			st.departure.toldUntil = time.Time{}
		case DepartureUnknown:
		}
		changed = x.settle(e, st, changed, now)
	}
	x.mutex.Unlock()
	x.pass(changed)
}
