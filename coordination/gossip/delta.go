package gossip

import (
	"math"
	"net/netip"
	"time"
)

// DeltaTracker selects the uses that an instance's next report lists. In a large fleet each instance reports every start of a run to
// all others, and most of what a full report holds is known already. Most reports therefore list only the uses that changed, each change
// twice because reports get lost; reports that list all uses are sent at a longer interval.
type DeltaTracker struct {
	reported     map[netip.AddrPort]*reportedUse
	fullReportAt time.Time // time of the latest full report
}

// reportedUse is the use of one endpoint as it was last reported to the other instances.
type reportedUse struct {
	use       Use
	remaining int // number of further reports that list it
}

// NewDeltaTracker returns a tracker that has reported nothing yet.
func NewDeltaTracker() *DeltaTracker {
	return &DeltaTracker{reported: make(map[netip.AddrPort]*reportedUse)}
}

// Pick returns the uses to report, and whether the report is partial, so that uses it does not list are unchanged. The interval is the one
// at which all uses are reported.
func (d *DeltaTracker) Pick(uses []Use, fullInterval time.Duration, now time.Time) (picked []Use, partial bool) {
	d.recordChanges(uses)
	if now.Sub(d.fullReportAt) >= fullInterval {
		d.fullReportAt = now
		for a, r := range d.reported {
			r.remaining = max(r.remaining-1, 0)
			if r.use.empty() {
				delete(d.reported, a)
			}
		}
		return uses, false
	}
	for _, r := range d.reported {
		if r.remaining > 0 {
			r.remaining--
			picked = append(picked, r.use)
		}
	}
	return picked, true
}

// InUse returns the endpoints at which other instances have been told of a use that has not been reported as ended.
func (d *DeltaTracker) InUse() []netip.AddrPort {
	var endpoints []netip.AddrPort
	for a, r := range d.reported {
		if !r.use.empty() {
			endpoints = append(endpoints, a)
		}
	}
	return endpoints
}

// recordChanges marks the uses that differ from what was reported, or have ended, for the next reports.
func (d *DeltaTracker) recordChanges(uses []Use) {
	present := make(map[netip.AddrPort]bool, len(uses))
	for _, u := range uses {
		present[u.Endpoint] = true
		r := d.reported[u.Endpoint]
		if r == nil {
			r = &reportedUse{}
			d.reported[u.Endpoint] = r
		}
		if !r.use.similar(u) {
			r.use, r.remaining = u, reportsPerChange
		}
	}
	for a, r := range d.reported {
		if !present[a] && !r.use.empty() {
			r.use, r.remaining = Use{Endpoint: a}, reportsPerChange
		}
	}
}

// similar reports whether the use, as it was reported, differs so little from the current one that the change need not be reported.
func (u Use) similar(current Use) bool {
	return u.Endpoint == current.Endpoint && u.Running == current.Running && u.Prompts == current.Prompts && u.PromptCount == current.PromptCount &&
		(u.PrefillSamples > 0) == (current.PrefillSamples > 0) && approximatelyEqual(float64(u.TokenTime), float64(current.TokenTime)) &&
		approximatelyEqual(float64(u.Memory), float64(current.Memory)) && approximatelyEqual(float64(u.Held), float64(current.Held)) &&
		approximatelyEqual(float64(u.Interval), float64(current.Interval))
}

// approximatelyEqual reports whether two values differ by no more than the fraction maximumUnreportedChange of the smaller one; only zero
// is approximately equal to zero.
func approximatelyEqual(a, b float64) bool { return math.Abs(a-b) <= maximumUnreportedChange*min(a, b) }
