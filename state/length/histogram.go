package length

import "math"

// Histogram is a decayed estimate of the distribution of the lengths of generations, in tokens, with a fixed number of buckets.
// For each bucket it counts the generations that reached it and those that ended in it, so that generations in progress or cancelled
// count as censored observations (Kaplan-Meier estimator).
type Histogram struct {
	entered  [bucketCount]float64 // weight of the generations that reached each bucket
	ended    [bucketCount]float64 // weight of the generations that ended in each bucket
	weight   float64              // weight of the next observation; it grows, which decays earlier observations relative to it
	samples  int                  // number of ends recorded
	lastUsed uint64               // clock of the table when the histogram was last used

	unrefreshed int                      // ends recorded since the latest refresh
	survival    [bucketCount + 1]float64 // probability of a length in the bucket or above it
	sums        [bucketCount + 1]float64 // sum of these lengths, weighted by probability
	squares     [bucketCount + 1]float64 // sum of the squares of these lengths, weighted by probability
}

// NewHistogram returns a histogram that holds only the prior.
func NewHistogram() *Histogram {
	h := &Histogram{weight: 1}
	last := bucketOf(4 * priorLength)
	for b := linearBuckets; b <= last; b++ {
		h.ended[b] = priorWeight / float64(last-linearBuckets+1)
	}
	left := float64(priorWeight)
	for b := range h.entered {
		h.entered[b] = left
		left = max(left-h.ended[b], 0)
	}
	h.refresh()
	return h
}

// Emitted records that the number of tokens that a generation has emitted grew from before to now; before is -1 at the first call.
func (h *Histogram) Emitted(before, now int) {
	first := 0
	if before >= 0 {
		first = bucketOf(before) + 1
	}
	for b := first; b <= bucketOf(now); b++ {
		h.entered[b] += h.weight
	}
}

// Ended records that a generation ended with the number of tokens, which must have been recorded by Emitted.
func (h *Histogram) Ended(tokens int) {
	h.ended[bucketOf(tokens)] += h.weight
	h.weight *= math.Exp2(1.0 / halfLife)
	h.samples++
	h.unrefreshed++
	if h.unrefreshed >= refreshPeriod || h.samples <= refreshPeriod {
		h.refresh()
	}
}

// Observe records the length of a finished generation.
func (h *Histogram) Observe(tokens int) {
	h.Emitted(-1, tokens)
	h.Ended(tokens)
}

// Samples returns the number of generations whose end was recorded.
func (h *Histogram) Samples() int { return h.samples }

// refresh computes the derived tables from the counts.
func (h *Histogram) refresh() {
	if h.weight > rescaleWeight {
		h.rescale()
	}
	h.unrefreshed = 0
	h.survival[0] = 1
	for b := range h.ended {
		h.survival[b+1] = 0
		if h.entered[b] > h.ended[b] {
			h.survival[b+1] = h.survival[b] * (1 - h.ended[b]/h.entered[b])
		}
	}
	for b := bucketCount - 1; b >= 0; b-- {
		part, middle := h.survival[b]-h.survival[b+1], bucketMiddle(b)
		h.sums[b] = h.sums[b+1] + part*middle
		h.squares[b] = h.squares[b+1] + part*middle*middle
	}
}

// rescale divides all weights by that of the next observation, which keeps them in range.
func (h *Histogram) rescale() {
	for b := range h.ended {
		h.entered[b] /= h.weight
		h.ended[b] /= h.weight
	}
	h.weight = 1
}

// fractionAbove returns the fraction of the lengths in the bucket that are greater than the number of tokens.
func fractionAbove(bucket, tokens int) float64 {
	start, next := bucketStart(bucket), bucketStart(bucket+1)
	return float64(next-1-tokens) / float64(next-start)
}

// tail returns the probability of lengths greater than the number of tokens, and the sums of these lengths and of their squares weighted
// by probability.
func (h *Histogram) tail(tokens int) (mass, sum, square float64) {
	b := bucketOf(tokens)
	part := (h.survival[b] - h.survival[b+1]) * max(fractionAbove(b, tokens), 0)
	middle := float64(tokens+bucketStart(b+1)) / 2
	return h.survival[b+1] + part, h.sums[b+1] + part*middle, h.squares[b+1] + part*middle*middle
}

// sufficient reports whether enough probability is left for the histogram to say anything about longer lengths.
func (h *Histogram) sufficient(mass float64) bool {
	return mass > minimumMass
}

// Remaining returns the mean and the standard deviation of the number of tokens that remain after those emitted.
func (h *Histogram) Remaining(emitted int) (mean, deviation float64) {
	mass, sum, square := h.tail(emitted)
	if !h.sufficient(mass) {
		beyond := max(float64(emitted)*beyondFraction, 1)
		return beyond, beyond
	}
	length := sum / mass
	variance := square/mass - length*length
	return max(length-float64(emitted), 1), math.Sqrt(max(variance, 0))
}

// Survival returns the probability that a generation in progress, after the emitted tokens, emits more than the further number of tokens.
func (h *Histogram) Survival(emitted, further int) float64 {
	mass, _, _ := h.tail(emitted)
	if !h.sufficient(mass) {
		return math.Exp(-float64(further) / max(float64(emitted)*beyondFraction, 1))
	}
	later, _, _ := h.tail(emitted + further)
	return later / mass
}

// Quantile returns the number of tokens remaining after those emitted that is not exceeded with the probability.
func (h *Histogram) Quantile(emitted int, probability float64) int {
	mass, _, _ := h.tail(emitted)
	if !h.sufficient(mass) {
		return int(-math.Log(1-probability) * max(float64(emitted)*beyondFraction, 1))
	}
	target := mass * (1 - probability)
	low, high := emitted, bucketStart(bucketCount)
	for low < high {
		middle := (low + high) / 2
		if left, _, _ := h.tail(middle); left <= target {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low - emitted
}
