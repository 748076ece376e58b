package routing

import (
	"math"
	"time"
)

// profile is the predicted KV memory of a set of runs at each horizon, as mean and variance in tokens.
type profile struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
	computed time.Time
}

// add adds the predicted memory of a run.
func (p *profile) add(r *Request) {
	current := float64(r.promptTokens() + int(r.emittedTokens.Load()))
	for i, h := range horizons {
		probability := r.survival(h)
		tokens := current + float64(h)
		p.mean[i] += probability * tokens
		p.variance[i] += max(probability*(1-probability), 0) * tokens * tokens
	}
}

// remove subtracts the predicted memory of a run that has ended. The prediction may have changed since it was added; the difference remains
// until the profile is computed again.
func (p *profile) remove(r *Request) {
	removed := profile{}
	removed.add(r)
	for i := range horizons {
		p.mean[i] = max(p.mean[i]-removed.mean[i], 0)
		p.variance[i] = max(p.variance[i]-removed.variance[i], 0)
	}
}

// peak returns the highest predicted memory of all horizons, in tokens, with a margin of spread times
// memoryMarginDeviations standard deviations.
func (p *profile) peak(spread float64) float64 {
	maximum := 0.0
	for i := range horizons {
		maximum = max(maximum, p.mean[i]+memoryMarginDeviations*spread*math.Sqrt(p.variance[i]))
	}
	return maximum
}

// peakWith returns the peak of the sum of two profiles.
func (p *profile) peakWith(other *profile, spread float64) float64 {
	sum := *p
	for i := range horizons {
		sum.mean[i] += other.mean[i]
		sum.variance[i] += other.variance[i]
	}
	return sum.peak(spread)
}

// maximumVariance returns the largest variance of all horizons, in squared tokens.
func (p *profile) maximumVariance() float64 {
	maximum := 0.0
	for _, v := range p.variance {
		maximum = max(maximum, v)
	}
	return maximum
}
