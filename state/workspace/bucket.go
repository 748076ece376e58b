package workspace

import "time"

// bucket is a token bucket whose level may be negative.
type bucket struct {
	level   float64 // what may be spent; negative after spending more than was available
	updated time.Time
}

// refill adds what has accrued at the rate, in units per second, since the last call; the first call fills the bucket.
func (b *bucket) refill(rate float64, now time.Time) {
	burst := max(rate*burstSeconds, minimumBurst)
	if b.updated.IsZero() {
		b.level, b.updated = burst, now
		return
	}
	if elapsed := now.Sub(b.updated).Seconds(); elapsed > 0 {
		b.level = min(b.level+rate*elapsed, burst)
		b.updated = now
	}
}

// availableAt returns the time at which the bucket holds the amount, or now if that is the case already or the rate is zero.
func (b *bucket) availableAt(amount, rate float64, now time.Time) time.Time {
	if b.level >= amount || rate <= 0 {
		return now
	}
	return now.Add(time.Duration((amount - b.level) / rate * float64(time.Second)))
}
