package workspace

import (
	"math"
	"time"
)

const meterSeconds = 2.0 // time constant of a meter

// meter gives the decayed rate of what is added to it.
type meter struct {
	amount float64
	at     time.Time
}

func (m *meter) add(amount float64, now time.Time) {
	m.decay(now)
	m.amount += amount
}

func (m *meter) decay(now time.Time) {
	if passed := now.Sub(m.at).Seconds(); passed > 0 && !m.at.IsZero() {
		m.amount *= math.Exp(-passed / meterSeconds)
	}
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.amount / meterSeconds
}
