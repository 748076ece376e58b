package relay

import "time"

// handover decides when a run that is being copied off a leaving endpoint stops there. It answers the load pattern of several runs
// leaving one endpoint at once: their copies queue on its link, and a run that stops while others are being copied is silent until
// they are done. So it goes on being copied, each time only what is new, until a copy is quick; and stops anyway when the time
// that the endpoint has left runs out.
type handover struct {
	noticed time.Time
}

// stops tells whether the run may stop now, after a copy that took until now.
func (h handover) stops(began, now time.Time) bool {
	return now.Sub(began) <= quickCopy || now.Sub(h.noticed) >= latestStop
}
