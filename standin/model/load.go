package model

import "time"

// Load is what an engine knows of its own load.
type Load struct {
	At             time.Time
	Running        int
	Waiting        int
	UsedTokens     int
	CapacityTokens int
	Preemptions    int
	RateLimit      *float64 // requests per second that the engine takes from all callers together; nil: any number
}

// history keeps samples of the load, so that it can be reported late.
type history struct {
	samples []Load    // oldest first
	opened  time.Time // first time that the newest sample stands for; zero before the first record
}

// record notes the load, at most loadSamplesPerLag times per lag; later loads within one interval replace each other.
func (h *history) record(load Load, lag time.Duration) {
	if n := len(h.samples); n > 0 && load.At.Sub(h.opened) < lag/loadSamplesPerLag {
		h.samples[n-1] = load
		return
	}
	h.opened = load.At
	h.samples = append(h.samples, load)
	if len(h.samples) > 4*loadSamplesPerLag {
		h.forget(load.At.Add(-lag))
	}
}

// forget drops the samples that no report at or after the time can need.
func (h *history) forget(latest time.Time) {
	keep := h.find(latest)
	h.samples = append(h.samples[:0], h.samples[keep:]...)
}

// find returns the index of the newest sample that is not younger than the time given, 0 when there is none.
func (h *history) find(latest time.Time) int {
	for i := len(h.samples) - 1; i > 0; i-- {
		if !h.samples[i].At.After(latest) {
			return i
		}
	}
	return 0
}
