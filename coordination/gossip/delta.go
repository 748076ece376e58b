package gossip

import (
	"math"
	"net/netip"
	"time"
)

// DeltaTracker chooses what goes into an instance's next report. It answers the load pattern of a large fleet, in which each instance
// tells all others of each start: most of what a whole report holds is known already. So a report holds what has changed, twice,
// as reports get lost; and all of it from time to time.
type DeltaTracker struct {
	told  map[netip.AddrPort]*telling
	whole time.Time // of the latest whole report
}

// telling is what the others were told of one endpoint.
type telling struct {
	use  Use
	left int // reports that are still to hold it
}

// NewDeltaTracker returns what has told nobody of anything.
func NewDeltaTracker() *DeltaTracker { return &DeltaTracker{told: make(map[netip.AddrPort]*telling)} }

// Pick gives the uses to report, and whether they are only a part of all.
func (c *DeltaTracker) Pick(uses []Use, now time.Time) (picked []Use, partial bool) {
	c.note(uses)
	if now.Sub(c.whole) >= wholeInterval {
		c.whole = now
		for a, t := range c.told {
			t.left = max(t.left-1, 0)
			if t.use.none() {
				delete(c.told, a)
			}
		}
		return uses, false
	}
	for _, t := range c.told {
		if t.left > 0 {
			t.left--
			picked = append(picked, t.use)
		}
	}
	return picked, true
}

// note finds what has changed since it was told.
func (c *DeltaTracker) note(uses []Use) {
	present := make(map[netip.AddrPort]bool, len(uses))
	for _, u := range uses {
		present[u.Endpoint] = true
		t := c.told[u.Endpoint]
		if t == nil {
			t = &telling{}
			c.told[u.Endpoint] = t
		}
		if !t.use.like(u) {
			t.use, t.left = u, tellings
		}
	}
	for a, t := range c.told {
		if !present[a] && !t.use.none() {
			t.use, t.left = Use{Endpoint: a}, tellings
		}
	}
}

// like tells whether the others need not hear of a change.
func (u Use) like(now Use) bool {
	return u.Endpoint == now.Endpoint && u.Running == now.Running && u.Prompts == now.Prompts &&
		near(float64(u.Memory), float64(now.Memory)) && near(float64(u.Held), float64(now.Held)) &&
		near(float64(u.Interval), float64(now.Interval))
}

// near tells whether two figures differ little; nothing is near to zero.
func near(a, b float64) bool { return math.Abs(a-b) <= likeness*min(a, b) }
