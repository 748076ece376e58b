package workspace

import (
	"math"
	"time"
)

const decaySeconds = 2.0 // time constant of the exponential decay

// meter measures a rate per second as an exponentially decayed average.
type meter struct {
	amount  float64 // exponentially decayed sum of what was added
	updated time.Time
}

func (m *meter) add(amount float64, now time.Time) {
	m.decay(now)
	m.amount += amount
}

func (m *meter) decay(now time.Time) {
	if elapsed := now.Sub(m.updated).Seconds(); elapsed > 0 && !m.updated.IsZero() {
		m.amount *= math.Exp(-elapsed / decaySeconds)
	}
	m.updated = now
}

func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.amount / decaySeconds
}
