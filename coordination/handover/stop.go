package handover

import "time"

const (
	shortCopyLimit = 40 * time.Millisecond // a copy this short shows that no copies of other runs are queued on the link

	// LatestStop is the longest time between the notice and the stop of a run; the shortest notice is 1.5 s.
	LatestStop = 1200 * time.Millisecond
	// CopyPause is the time between two successive copies of the same run.
	CopyPause = 15 * time.Millisecond
)

// StopRule decides when a run that is being copied off a leaving endpoint stops there. When several runs leave one endpoint at the
// same time, their copies queue on its link, and a run that has stopped produces no tokens until the copies queued before its last one
// are done. A run therefore keeps running while it is copied repeatedly, each time only what was added since the previous copy, until
// a copy is short. It stops in any case LatestStop after the notice, since the endpoint is then about to be gone.
type StopRule struct {
	Noticed time.Time // when the notice was received
}

// ShouldStop reports whether the run is to stop after a copy that lasted from began to now.
func (r StopRule) ShouldStop(began, now time.Time) bool {
	return now.Sub(began) <= shortCopyLimit || now.Sub(r.Noticed) >= LatestStop
}
