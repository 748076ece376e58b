package endpoint

import "time"

// Health judges an endpoint by the outcomes of its work and says when it may be probed again.
type Health struct {
	outcomes, errors float64
	EjectedUntil     time.Time // ejected until then; zero when not
	probing          bool
	times            int
	last             time.Time // of the latest ejection
}

// Success records work that ended well; it ends an ejection that was being probed.
func (h *Health) Success() {
	h.outcomes = h.outcomes*errorDecay + 1
	h.errors *= errorDecay
	if h.probing {
		*h = Health{times: h.times, last: h.last}
	}
}

// Failure records work that the endpoint failed; a failed probe lengthens the ejection.
func (h *Health) Failure(now time.Time) {
	h.outcomes = h.outcomes*errorDecay + 1
	h.errors = h.errors*errorDecay + 1
	if h.probing {
		h.Eject(now)
	}
}

// Failing tells whether the endpoint's rate of errors makes it an outlier.
func (h *Health) Failing() bool {
	return h.outcomes >= ejectOutcomes*errorDecay && h.errors >= ejectErrors*h.outcomes
}

// Slow tells whether an interval between tokens is an outlier against the median of the endpoints.
func Slow(interval, median time.Duration) bool {
	return median > 0 && interval > ejectSlowness*median
}

// Eject takes the endpoint out, for longer each time.
func (h *Health) Eject(now time.Time) {
	if now.Sub(h.last) > forgetEjectAfter {
		h.times = 0
	}
	wait := firstEjection << min(h.times, 8)
	h.EjectedUntil = now.Add(min(wait, longestEjection))
	h.last = now
	h.times++
	h.probing = false
}

// Blocked tells whether the endpoint is ejected, without a probe being due.
func (h *Health) Blocked(now time.Time) bool {
	return !h.EjectedUntil.IsZero() && (h.probing || now.Before(h.EjectedUntil))
}

// Ejected tells whether the endpoint is ejected, also when a probe is due or running.
func (h *Health) Ejected() bool { return !h.EjectedUntil.IsZero() }

// Dispatched notes that work was sent; to an ejected endpoint it is the probe.
func (h *Health) Dispatched() {
	if !h.EjectedUntil.IsZero() {
		h.probing = true
	}
}

// Cancelled notes work that told nothing; the probe is free again.
func (h *Health) Cancelled() { h.probing = false }
