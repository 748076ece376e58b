package workspace

import (
	"time"

	"dogwooddyke/state/catalogue"
)

// Share is the part of a workspace's limits that one instance may use until a time.
type Share struct {
	Concurrency int       `cbor:"1,keyasint,omitzero" json:"concurrency"`
	Requests    float64   `cbor:"2,keyasint,omitzero" json:"requests"` // per second
	Tokens      float64   `cbor:"3,keyasint,omitzero" json:"tokens"`   // per second
	Until       time.Time `cbor:"4,keyasint,omitzero" json:"until"`
}

// Ends returns when the share ends.
func (s Share) Ends() time.Time { return s.Until }

// Demand is what an instance tells the steward of a workspace's limits about its use of them.
type Demand struct {
	Running  int     `cbor:"1,keyasint,omitzero" json:"running"`
	Waiting  int     `cbor:"2,keyasint,omitzero" json:"waiting"`
	Requests float64 `cbor:"3,keyasint,omitzero" json:"requests"` // asked for per second
	Tokens   float64 `cbor:"4,keyasint,omitzero" json:"tokens"`   // used per second
}

// Limiter holds one workspace to its limits at one instance.
type Limiter struct {
	limits    catalogue.Limits
	share     Share
	instances int
	running   int
	waiting   int
	requests  bucket
	tokens    bucket
	asked     meter
	used      meter
}

// NewLimiter returns a limiter that takes an equal part of the limits until it has a share.
func NewLimiter(limits catalogue.Limits, instances int) *Limiter {
	return &Limiter{limits: limits, instances: max(instances, 1)}
}

// SetLimits replaces the limits of the whole fleet and the number of instances that share them.
func (l *Limiter) SetLimits(limits catalogue.Limits, instances int) {
	l.limits, l.instances = limits, max(instances, 1)
}

// SetShare replaces the share of this instance.
func (l *Limiter) SetShare(share Share) { l.share = share }

// Current gives the share in force: the granted one, or an equal part of the limits when that has run out.
func (l *Limiter) Current(now time.Time) Share {
	if now.Before(l.share.Until) {
		return l.share
	}
	parts := float64(l.instances)
	return Share{
		Concurrency: max(l.limits.Concurrency/l.instances, 1),
		Requests:    float64(l.limits.RequestsPerSecond) / parts,
		Tokens:      float64(l.limits.TokensPerSecond) / parts,
	}
}

// ReadyAt gives the time from which the limits allow one more start; when it hangs on a running request's end, ready is false and the time is now.
func (l *Limiter) ReadyAt(now time.Time) (at time.Time, ready bool) {
	share := l.Current(now)
	if l.limits.Concurrency > 0 && l.running >= share.Concurrency {
		return now, false
	}
	at = now
	if l.limits.RequestsPerSecond > 0 {
		l.requests.refill(share.Requests, now)
		at = later(at, l.requests.fullAt(1, share.Requests, now))
	}
	if l.limits.TokensPerSecond > 0 {
		l.tokens.refill(share.Tokens, now)
		at = later(at, l.tokens.fullAt(0, share.Tokens, now))
	}
	return at, !at.After(now)
}

// Wait gives how long a request would wait for the limits behind the given number of others.
func (l *Limiter) Wait(ahead int, holdSeconds float64, now time.Time) time.Duration {
	share := l.Current(now)
	seconds := 0.0
	if l.limits.RequestsPerSecond > 0 && share.Requests > 0 {
		l.requests.refill(share.Requests, now)
		seconds = max(seconds, (float64(ahead)+1-l.requests.level)/share.Requests)
	}
	if l.limits.TokensPerSecond > 0 && share.Tokens > 0 {
		l.tokens.refill(share.Tokens, now)
		seconds = max(seconds, -l.tokens.level/share.Tokens)
	}
	if free := share.Concurrency - l.running - ahead; l.limits.Concurrency > 0 && free <= 0 {
		seconds = max(seconds, float64(1-free)*holdSeconds/float64(max(share.Concurrency, 1)))
	}
	return time.Duration(seconds * float64(time.Second))
}

// Submitted notes a request that was submitted.
func (l *Limiter) Submitted(now time.Time) {
	l.waiting++
	l.asked.add(1, now)
}

// Dropped notes a submitted request that will not start.
func (l *Limiter) Dropped() { l.waiting-- }

// Started notes the start of a submitted request.
func (l *Limiter) Started(now time.Time) {
	l.waiting--
	l.running++
	if l.limits.RequestsPerSecond > 0 {
		l.requests.refill(l.Current(now).Requests, now)
		l.requests.level--
	}
}

// Spent notes generated tokens.
func (l *Limiter) Spent(tokens int, now time.Time) {
	l.used.add(float64(tokens), now)
	if l.limits.TokensPerSecond > 0 {
		l.tokens.refill(l.Current(now).Tokens, now)
		l.tokens.level -= float64(tokens)
	}
}

// Ended notes the end of a started request.
func (l *Limiter) Ended() { l.running-- }

// Idle tells whether nothing runs or waits.
func (l *Limiter) Idle() bool { return l.running == 0 && l.waiting == 0 }

// Limited tells whether any limit is set.
func (l *Limiter) Limited() bool { return l.limits != (catalogue.Limits{}) }

// Limits gives the limits of the whole fleet.
func (l *Limiter) Limits() catalogue.Limits { return l.limits }

// Demand gives what to tell the steward.
func (l *Limiter) Demand(now time.Time) Demand {
	return Demand{Running: l.running, Waiting: l.waiting, Requests: l.asked.rate(now), Tokens: l.used.rate(now)}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
