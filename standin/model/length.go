package model

import (
	"cmp"
	"math"
	"math/rand/v2"
)

// Lengths is a heavy-tailed (lognormal) distribution of output lengths, tokens; zero fields take the defaults.
type Lengths struct {
	Median  float64
	Sigma   float64 // of the logarithm
	Maximum int
}

// Draw returns the length that belongs to the seed.
func (l Lengths) Draw(seed uint64) int {
	normal := rand.New(rand.NewPCG(seed, 0)).NormFloat64()
	length := cmp.Or(l.Median, defaultMedian) * math.Exp(cmp.Or(l.Sigma, defaultSigma)*normal)
	return int(min(max(length, minimumLength), float64(cmp.Or(l.Maximum, defaultMaximum))))
}
