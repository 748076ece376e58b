package endpoint

import "time"

// Health tracks the outcomes of work at an endpoint, its ejection, and the time from which it may be probed.
type Health struct {
	outcomes, errors float64   // decayed counts of all outcomes and of failures
	EjectedUntil     time.Time // time from which a probe may be sent; zero: not ejected
	probing          bool      // a probe is in flight
	ejections        int       // ejections counted since the last reset; the duration of the next one depends on it
	lastEjection     time.Time // time of the latest ejection
}

// Success records work that succeeded; it ends the ejection if a probe is in flight.
func (h *Health) Success() {
	h.outcomes = h.outcomes*outcomeDecay + 1
	h.errors *= outcomeDecay
	if h.probing {
		*h = Health{ejections: h.ejections, lastEjection: h.lastEjection}
	}
}

// Failure records work that the endpoint failed; it ejects the endpoint again if a probe is in flight.
func (h *Health) Failure(now time.Time) {
	h.outcomes = h.outcomes*outcomeDecay + 1
	h.errors = h.errors*outcomeDecay + 1
	if h.probing {
		h.Eject(now)
	}
}

// Failing reports whether the error rate of the endpoint makes it an outlier.
func (h *Health) Failing() bool {
	return h.outcomes >= ejectMinimumOutcomes*outcomeDecay && h.errors >= ejectErrorRate*h.outcomes
}

// Slow reports whether an interval between tokens is an outlier against the median of all endpoints.
func Slow(interval, median time.Duration) bool {
	return median > 0 && interval > ejectSlowness*median
}

// Eject ejects the endpoint; each repeated ejection lasts twice as long as the one before, up to a limit.
func (h *Health) Eject(now time.Time) {
	if now.Sub(h.lastEjection) > forgetEjectionsAfter {
		h.ejections = 0
	}
	duration := firstEjection << min(h.ejections, 8)
	h.EjectedUntil = now.Add(min(duration, longestEjection))
	h.lastEjection = now
	h.ejections++
	h.probing = false
}

// Blocked reports whether the endpoint is ejected and may not be sent a probe: none is due yet, or one is in flight.
func (h *Health) Blocked(now time.Time) bool {
	return !h.EjectedUntil.IsZero() && (h.probing || now.Before(h.EjectedUntil))
}

// Ejected reports whether the endpoint is ejected, including while a probe is due or in flight.
func (h *Health) Ejected() bool { return !h.EjectedUntil.IsZero() }

// Dispatched records that work was sent to the endpoint; work that is sent to an ejected endpoint is its probe.
func (h *Health) Dispatched() {
	if !h.EjectedUntil.IsZero() {
		h.probing = true
	}
}

// Cancelled records work that ended without an outcome, so that another probe may be sent.
func (h *Health) Cancelled() { h.probing = false }
