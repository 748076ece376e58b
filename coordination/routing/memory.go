package routing

import (
	"math"
	"time"
)

// profile foresees the memory that generations hold at each horizon, as mean and variance, in tokens.
type profile struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
	computed time.Time
}

func (p *profile) add(r *Request) {
	current := float64(r.promptTokens() + int(r.emittedTokens.Load()))
	for i, h := range horizons {
		probability := r.survival(h)
		tokens := current + float64(h)
		p.mean[i] += probability * tokens
		p.variance[i] += max(probability*(1-probability), 0) * tokens * tokens
	}
}

// remove takes out a generation that ended; what it had been foreseen to hold may have differed, until the profile is made anew.
func (p *profile) remove(r *Request) {
	removed := profile{}
	removed.add(r)
	for i := range horizons {
		p.mean[i] = max(p.mean[i]-removed.mean[i], 0)
		p.variance[i] = max(p.variance[i]-removed.variance[i], 0)
	}
}

// peak gives the most memory that is expected at any horizon, with a margin for its spread.
func (p *profile) peak(spread float64) float64 {
	maximum := 0.0
	for i := range horizons {
		maximum = max(maximum, p.mean[i]+memoryMarginDeviations*spread*math.Sqrt(p.variance[i]))
	}
	return maximum
}

// with gives the peak after another profile is added.
func (p *profile) peakWith(other *profile, spread float64) float64 {
	sum := *p
	for i := range horizons {
		sum.mean[i] += other.mean[i]
		sum.variance[i] += other.variance[i]
	}
	return sum.peak(spread)
}

// widest gives the largest variance of any horizon.
func (p *profile) maximumVariance() float64 {
	maximum := 0.0
	for _, v := range p.variance {
		maximum = max(maximum, v)
	}
	return maximum
}
