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

func (p *profile) add(f *Flight) {
	held := float64(f.prompt() + int(f.emitted.Load()))
	for i, h := range horizons {
		alive := f.survival(h)
		size := held + float64(h)
		p.mean[i] += alive * size
		p.variance[i] += max(alive*(1-alive), 0) * size * size
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

// with gives the peak after one more generation.
func (p *profile) with(f *Flight, spread float64) float64 {
	sum := *p
	sum.add(f)
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
