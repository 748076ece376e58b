package load

import (
	"math"
	"math/rand/v2"
)

// Tokens is a log-normal distribution of output lengths.
type Tokens struct {
	Median  float64
	Sigma   float64 // of the logarithm; 0.9 puts the 99th percentile at 8 times the median
	Maximum int
}

// Draw returns one length, from 1 to the maximum.
func (t Tokens) Draw(r *rand.Rand) int {
	length := t.Median * math.Exp(t.Sigma*r.NormFloat64())
	return max(1, min(t.Maximum, int(math.Round(length))))
}
