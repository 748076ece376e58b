package endpoint

import "time"

// Prefill estimates the time in which an engine processes one token of a prompt. Prompts that arrive meanwhile make the
// engine appear slower than it is, and nothing makes it appear faster, so faster observations count for more.
type Prefill struct {
	tokenTime time.Duration
	samples   int
}

// Observe records the time that the engine took for each token of some prompts, and reports whether the observation was usable.
func (p *Prefill) Observe(tokenTime time.Duration) bool {
	if tokenTime <= 0 {
		return false
	}
	tokenTime = min(tokenTime, maximumTokenTime)
	p.samples++
	weight := slowerPrefillWeight
	if tokenTime < p.tokenTime {
		weight = fasterPrefillWeight
	}
	if p.samples == 1 {
		weight = 1
	}
	p.tokenTime += time.Duration(weight * float64(tokenTime-p.tokenTime))
	return true
}

// TokenTime returns the estimate, and reports whether there is one.
func (p *Prefill) TokenTime() (time.Duration, bool) { return p.tokenTime, p.samples > 0 }

// Samples returns the number of observations.
func (p *Prefill) Samples() int { return p.samples }
