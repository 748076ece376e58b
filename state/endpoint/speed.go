package endpoint

import "time"

// Speed learns an endpoint's time between tokens as a line over the size of its batch.
type Speed struct {
	weight, batches, seconds   float64
	batchSquares, batchSeconds float64
	seen                       float64 // largest recent batch
	recent                     float64 // seconds, latest intervals
	samples                    int
}

// NewSpeed returns a speed that holds only the prior.
func NewSpeed() *Speed {
	s := &Speed{}
	s.add(1, priorBase+priorSlope, priorPoints)
	s.add(priorBatch, priorBase+priorBatch*priorSlope, priorPoints)
	return s
}

func (s *Speed) add(batch, seconds, weight float64) {
	s.weight += weight
	s.batches += weight * batch
	s.seconds += weight * seconds
	s.batchSquares += weight * batch * batch
	s.batchSeconds += weight * batch * seconds
}

// Observe records a mean interval between tokens at a size of the batch, and tells whether it was one to learn from.
func (s *Speed) Observe(batch int, interval time.Duration) bool {
	if interval <= 0 || batch < 1 {
		return false
	}
	interval = min(interval, maximumStep)
	for _, v := range []*float64{&s.weight, &s.batches, &s.seconds, &s.batchSquares, &s.batchSeconds} {
		*v *= speedDecay
	}
	s.add(float64(batch), interval.Seconds(), 1)
	s.seen = max(s.seen*seenDecay, float64(batch))
	s.samples++
	if s.samples == 1 {
		s.recent = interval.Seconds()
	}
	s.recent += (1 - recentDecay) * (interval.Seconds() - s.recent)
	return true
}

// line gives the step's base and what each generation adds, in seconds.
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

// Step gives the expected time between tokens at a size of the batch.
func (s *Speed) Step(batch int) time.Duration {
	base, slope := s.line()
	return time.Duration((base + slope*float64(batch)) * float64(time.Second))
}

// Recent gives the latest mean interval between tokens, and whether it was observed often enough.
func (s *Speed) Recent() (time.Duration, bool) {
	if s.samples == 0 {
		return defaultInterval, false
	}
	return time.Duration(s.recent * float64(time.Second)), s.samples >= slownessSamples
}

// Samples counts the intervals that were observed.
func (s *Speed) Samples() int { return s.samples }

// Knee gives the largest batch that keeps the time between tokens at the target.
func (s *Speed) Knee() int {
	base, slope := s.line()
	limit := max(s.seen*kneeGrowth, s.seen+kneeSpare, priorBatch)
	if slope > 0 {
		limit = min(limit, (targetInterval.Seconds()-base)/slope)
	}
	return min(max(int(limit), minimumKnee), maximumKnee)
}
