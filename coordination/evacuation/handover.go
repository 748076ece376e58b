package evacuation

import "time"

const (
	quickCopy = 40 * time.Millisecond // of a copy behind which no other one waits

	// LatestStop is the time after the notice at which a run stops at the latest; the shortest notice is 1.5 s.
	LatestStop = 1200 * time.Millisecond
	// CopyPause is the time between two copies of a run.
	CopyPause = 15 * time.Millisecond
)

// Handover decides when a run that is being copied off a leaving endpoint stops there. It answers the load pattern of several runs
// leaving one endpoint at once: their copies queue on its link, and a run that stops while others are being copied is silent until
// they are done. So it goes on being copied, each time only what is new, until a copy is quick; and stops anyway when the time
// that the endpoint has left runs out.
type Handover struct {
	Noticed time.Time
}

// ShouldStop tells whether the run may stop now, after a copy that took until now.
func (h Handover) ShouldStop(began, now time.Time) bool {
	return now.Sub(began) <= quickCopy || now.Sub(h.Noticed) >= LatestStop
}
