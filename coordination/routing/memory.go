package routing

import (
	"math"
	"time"
)

// profile foresees the memory that generations hold at each horizon, as mean and variance, in tokens.
type profile struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
	made     time.Time
}

func (p *profile) add(f *Request) {
	held := float64(f.prompt() + int(f.emitted.Load()))
	for i, h := range horizons {
		alive := f.survival(h)
		size := held + float64(h)
		p.mean[i] += alive * size
		p.variance[i] += max(alive*(1-alive), 0) * size * size
	}
}

// remove takes out a generation that ended; what it had been foreseen to hold may have differed, until the profile is made anew.
func (p *profile) remove(f *Request) {
	own := profile{}
	own.add(f)
	for i := range horizons {
		p.mean[i] = max(p.mean[i]-own.mean[i], 0)
		p.variance[i] = max(p.variance[i]-own.variance[i], 0)
	}
}

// peak gives the most memory that is expected at any horizon, with a margin for its spread.
func (p *profile) peak(spread float64) float64 {
	most := 0.0
	for i := range horizons {
		most = max(most, p.mean[i]+spreadMargin*spread*math.Sqrt(p.variance[i]))
	}
	return most
}

// with gives the peak after another profile is added.
func (p *profile) with(other *profile, spread float64) float64 {
	sum := *p
	for i := range horizons {
		sum.mean[i] += other.mean[i]
		sum.variance[i] += other.variance[i]
	}
	return sum.peak(spread)
}

// widest gives the largest variance of any horizon.
func (p *profile) widest() float64 {
	most := 0.0
	for _, v := range p.variance {
		most = max(most, v)
	}
	return most
}
