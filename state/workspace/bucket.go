package workspace

import "time"

// bucket is a token bucket that may go into debt.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) refill(rate float64, now time.Time) {
	burst := max(rate*burstSeconds, minimumBurst)
	if b.at.IsZero() {
		b.level, b.at = burst, now
		return
	}
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level = min(b.level+rate*passed, burst)
		b.at = now
	}
}

// fullAt gives the time at which the bucket holds the amount.
func (b *bucket) fullAt(amount, rate float64, now time.Time) time.Time {
	if b.level >= amount || rate <= 0 {
		return now
	}
	return now.Add(time.Duration((amount - b.level) / rate * float64(time.Second)))
}
