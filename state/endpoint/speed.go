package endpoint

import "time"

// Speed estimates the time between tokens at an endpoint, which is the time of one step of its batch, as a linear function of the batch
// size, by weighted least squares.
type Speed struct {
	weight, batches, seconds   float64 // decayed sums over the observations
	batchSquares, batchSeconds float64 // decayed sums of squared batch sizes and of batch size times seconds
	largestBatch               float64 // largest recent batch, decayed
	recentInterval             float64 // exponential mean of the interval between tokens, in seconds
	samples                    int     // number of observations
}

// NewSpeed returns an estimate that holds only the prior.
func NewSpeed() *Speed {
	s := &Speed{}
	s.add(1, priorBase+priorSlope, priorWeight)
	s.add(priorBatch, priorBase+priorBatch*priorSlope, priorWeight)
	return s
}

func (s *Speed) add(batch, seconds, weight float64) {
	s.weight += weight
	s.batches += weight * batch
	s.seconds += weight * seconds
	s.batchSquares += weight * batch * batch
	s.batchSeconds += weight * batch * seconds
}

// Observe records a mean interval between tokens at a batch size, and reports whether the observation was usable.
func (s *Speed) Observe(batch int, interval time.Duration) bool {
	if interval <= 0 || batch < 1 {
		return false
	}
	interval = min(interval, maximumStep)
	for _, v := range []*float64{&s.weight, &s.batches, &s.seconds, &s.batchSquares, &s.batchSeconds} {
		*v *= speedDecay
	}
	s.add(float64(batch), interval.Seconds(), 1)
	s.largestBatch = max(s.largestBatch*largestBatchDecay, float64(batch))
	s.samples++
	if s.samples == 1 {
		s.recentInterval = interval.Seconds()
	}
	s.recentInterval += (1 - recentDecay) * (interval.Seconds() - s.recentInterval)
	return true
}

// line returns the time of a step without the part that its batch adds, and the time that each generation in the batch adds, in seconds.
func (s *Speed) line() (base, slope float64) {
	spread := s.weight*s.batchSquares - s.batches*s.batches
	mean := s.seconds / s.weight
	if spread <= 1e-9*s.weight*s.weight {
		return mean * 0.7, mean * 0.3 * s.weight / s.batches
	}
	slope = max((s.weight*s.batchSeconds-s.batches*s.seconds)/spread, 0)
	base = mean - slope*s.batches/s.weight
	if base < 0 {
		return 0, s.seconds / s.batches
	}
	return base, slope
}

// Step returns the expected time between tokens at a batch size.
func (s *Speed) Step(batch int) time.Duration {
	base, slope := s.line()
	return time.Duration((base + slope*float64(batch)) * float64(time.Second))
}

// Recent returns the recent mean interval between tokens, and reports whether it rests on enough observations.
func (s *Speed) Recent() (time.Duration, bool) {
	if s.samples == 0 {
		return defaultInterval, false
	}
	return time.Duration(s.recentInterval * float64(time.Second)), s.samples >= slownessSamples
}

// Samples returns the number of intervals that were observed.
func (s *Speed) Samples() int { return s.samples }

// Knee returns the largest batch that is expected to keep the time between tokens within the target.
func (s *Speed) Knee() int {
	base, slope := s.line()
	limit := max(s.largestBatch*kneeGrowth, s.largestBatch+kneeHeadroom, priorBatch)
	if slope > 0 {
		limit = min(limit, (targetInterval.Seconds()-base)/slope)
	}
	return min(max(int(limit), minimumKnee), maximumKnee)
}
