package length

import "math"

// Histogram is a bounded, decayed estimate of the lengths of generations, in tokens.
// It counts, for each bucket of lengths, the generations that entered it and those that ended in it,
// so that generations still in progress, or cancelled, count for what they have shown (Kaplan and Meier's estimator).
type Histogram struct {
	entered [bucketCount]float64
	ended   [bucketCount]float64
	weight  float64 // of the next observation
	samples int
	used    uint64

	pending int
	above   [bucketCount + 1]float64 // probability of the bucket and those above
	sums    [bucketCount + 1]float64 // the same times length
	squares [bucketCount + 1]float64 // the same times squared length
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

// Emitted records that a generation has emitted more tokens than before; it starts from -1.
func (h *Histogram) Emitted(before, now int) {
	first := 0
	if before >= 0 {
		first = bucketOf(before) + 1
	}
	for b := first; b <= bucketOf(now); b++ {
		h.entered[b] += h.weight
	}
}

// Ended records the end of a generation whose last tokens were recorded as passed.
func (h *Histogram) Ended(tokens int) {
	h.ended[bucketOf(tokens)] += h.weight
	h.weight *= math.Exp2(1.0 / halfLife)
	h.samples++
	h.pending++
	if h.pending >= refreshPeriod || h.samples <= refreshPeriod {
		h.refresh()
	}
}

// Observe records the length of a finished generation.
func (h *Histogram) Observe(tokens int) {
	h.Emitted(-1, tokens)
	h.Ended(tokens)
}

// Samples gives the number of ends so far.
func (h *Histogram) Samples() int { return h.samples }

func (h *Histogram) refresh() {
	if h.weight > rescaleWeight {
		h.rescale()
	}
	h.pending = 0
	h.above[0] = 1
	for b := range h.ended {
		h.above[b+1] = 0
		if h.entered[b] > h.ended[b] {
			h.above[b+1] = h.above[b] * (1 - h.ended[b]/h.entered[b])
		}
	}
	for b := bucketCount - 1; b >= 0; b-- {
		part, middle := h.above[b]-h.above[b+1], bucketMiddle(b)
		h.sums[b] = h.sums[b+1] + part*middle
		h.squares[b] = h.squares[b+1] + part*middle*middle
	}
}

func (h *Histogram) rescale() {
	for b := range h.ended {
		h.entered[b] /= h.weight
		h.ended[b] /= h.weight
	}
	h.weight = 1
}

// inside gives the part of the bucket's lengths that are greater than the tokens.
func inside(bucket, tokens int) float64 {
	start, next := bucketStart(bucket), bucketStart(bucket+1)
	return float64(next-1-tokens) / float64(next-start)
}

// tail gives the mass of lengths greater than the tokens, with their sum and sum of squares.
func (h *Histogram) tail(tokens int) (mass, sum, square float64) {
	b := bucketOf(tokens)
	part := (h.above[b] - h.above[b+1]) * max(inside(b, tokens), 0)
	middle := float64(tokens+bucketStart(b+1)) / 2
	return h.above[b+1] + part, h.sums[b+1] + part*middle, h.squares[b+1] + part*middle*middle
}

func (h *Histogram) known(mass float64) bool {
	return mass > leastMass
}

// Remaining gives the mean and the standard deviation of the tokens that remain after those emitted.
func (h *Histogram) Remaining(emitted int) (mean, deviation float64) {
	mass, sum, square := h.tail(emitted)
	if !h.known(mass) {
		beyond := max(float64(emitted)*beyondFraction, 1)
		return beyond, beyond
	}
	length := sum / mass
	variance := square/mass - length*length
	return max(length-float64(emitted), 1), math.Sqrt(max(variance, 0))
}

// Survival gives the probability that a generation emits more than the further tokens, having emitted some and not ended.
func (h *Histogram) Survival(emitted, further int) float64 {
	mass, _, _ := h.tail(emitted)
	if !h.known(mass) {
		return math.Exp(-float64(further) / max(float64(emitted)*beyondFraction, 1))
	}
	later, _, _ := h.tail(emitted + further)
	return later / mass
}

// Quantile gives the number of remaining tokens that is not exceeded with the probability.
func (h *Histogram) Quantile(emitted int, probability float64) int {
	mass, _, _ := h.tail(emitted)
	if !h.known(mass) {
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
