package load

import (
	"math/rand/v2"
	"time"
)

// Arrivals is a Poisson process whose rate alternates between calm and bursts, both of exponential length.
type Arrivals struct {
	random  *rand.Rand
	shape   Shape
	calm    float64 // requests/s between bursts
	burst   bool
	now     time.Duration
	changes time.Duration // when the burst or the calm ends
}

// NewArrivals returns a process with the given mean rate in requests/s.
func NewArrivals(rate float64, shape Shape, r *rand.Rand) *Arrivals {
	a := &Arrivals{random: r, shape: shape, calm: calmRate(rate, shape)}
	a.changes = a.exponential(shape.CalmLength)
	return a
}

// Next returns the time of the next arrival, from the start of the process.
func (a *Arrivals) Next() time.Duration {
	for {
		rate := a.calm
		if a.burst {
			rate *= a.shape.BurstFactor
		}
		at := a.now + a.exponential(time.Duration(float64(time.Second)/rate))
		if at < a.changes {
			a.now = at
			return at
		}
		a.turn()
	}
}

// turn ends the burst or the calm; an exponential wait may be drawn anew there, as it has no memory.
func (a *Arrivals) turn() {
	a.now = a.changes
	a.burst = !a.burst
	length := a.shape.CalmLength
	if a.burst {
		length = a.shape.BurstLength
	}
	a.changes = a.now + a.exponential(length)
}

func (a *Arrivals) exponential(mean time.Duration) time.Duration {
	return time.Duration(a.random.ExpFloat64() * float64(mean))
}

func calmRate(rate float64, s Shape) float64 {
	calm, burst := s.CalmLength.Seconds(), s.BurstLength.Seconds()
	return rate * (calm + burst) / (calm + s.BurstFactor*burst)
}
