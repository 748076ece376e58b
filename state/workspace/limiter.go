package workspace

import (
	"time"

	"dogwooddyke/state/catalogue"
)

// Share is the part of the limits of a workspace that one instance may use until a time.
type Share struct {
	Concurrency int       `cbor:"1,keyasint,omitzero" json:"concurrency"` // requests running at once
	Requests    float64   `cbor:"2,keyasint,omitzero" json:"requests"`    // requests per second
	Tokens      float64   `cbor:"3,keyasint,omitzero" json:"tokens"`      // generated tokens per second
	Until       time.Time `cbor:"4,keyasint,omitzero" json:"until"`       // time at which the share ends
}

// Ends returns the time at which the share ends.
func (s Share) Ends() time.Time { return s.Until }

// Demand is the use of the limits of a workspace by one instance, as sent to the steward of these limits.
type Demand struct {
	Running  int     `cbor:"1,keyasint,omitzero" json:"running"`  // running requests
	Waiting  int     `cbor:"2,keyasint,omitzero" json:"waiting"`  // requests that wait to start
	Requests float64 `cbor:"3,keyasint,omitzero" json:"requests"` // requests submitted per second
	Tokens   float64 `cbor:"4,keyasint,omitzero" json:"tokens"`   // tokens generated per second
}

// Limiter enforces the limits of one workspace at one instance.
type Limiter struct {
	limits    catalogue.Limits // of all instances together
	share     Share
	instances int    // number of instances that share the limits
	running   int    // requests started and not ended
	waiting   int    // requests submitted and not started
	requests  bucket // budget of starts
	tokens    bucket // budget of generated tokens
	submitted meter  // rate of submitted requests
	used      meter  // rate of generated tokens
}

// NewLimiter returns a limiter that uses an equal part of the limits until it has a share.
func NewLimiter(limits catalogue.Limits, instances int) *Limiter {
	return &Limiter{limits: limits, instances: max(instances, 1)}
}

// SetLimits replaces the limits, which apply to all instances together, and the number of instances that share them.
func (l *Limiter) SetLimits(limits catalogue.Limits, instances int) {
	l.limits, l.instances = limits, max(instances, 1)
}

// SetShare replaces the share of this instance.
func (l *Limiter) SetShare(share Share) { l.share = share }

// Current returns the share in force: the granted one, or an equal part of the limits if that one has ended.
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

// ReadyAt returns the time from which the limits allow one more request to start, and reports whether it may start now; if the start
// depends on the end of a running request, ready is false and the time is now.
func (l *Limiter) ReadyAt(now time.Time) (at time.Time, ready bool) {
	share := l.Current(now)
	if l.limits.Concurrency > 0 && l.running >= share.Concurrency {
		return now, false
	}
	at = now
	if l.limits.RequestsPerSecond > 0 {
		l.requests.refill(share.Requests, now)
		at = later(at, l.requests.availableAt(1, share.Requests, now))
	}
	if l.limits.TokensPerSecond > 0 {
		l.tokens.refill(share.Tokens, now)
		at = later(at, l.tokens.availableAt(0, share.Tokens, now))
	}
	return at, !at.After(now)
}

// Wait returns how long a request would wait for the limits behind the given number of other requests, each of which runs for holdSeconds.
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

// Submitted records that a request was submitted.
func (l *Limiter) Submitted(now time.Time) {
	l.waiting++
	l.submitted.add(1, now)
}

// Dropped records that a submitted request will not start.
func (l *Limiter) Dropped() { l.waiting-- }

// Started records that a submitted request has started.
func (l *Limiter) Started(now time.Time) {
	l.waiting--
	l.running++
	if l.limits.RequestsPerSecond > 0 {
		l.requests.refill(l.Current(now).Requests, now)
		l.requests.level--
	}
}

// Spent records tokens that were generated.
func (l *Limiter) Spent(tokens int, now time.Time) {
	l.used.add(float64(tokens), now)
	if l.limits.TokensPerSecond > 0 {
		l.tokens.refill(l.Current(now).Tokens, now)
		l.tokens.level -= float64(tokens)
	}
}

// Ended records that a started request has ended.
func (l *Limiter) Ended() { l.running-- }

// Idle reports whether no request is running or waiting.
func (l *Limiter) Idle() bool { return l.running == 0 && l.waiting == 0 }

// Limited reports whether any limit is set.
func (l *Limiter) Limited() bool { return l.limits != (catalogue.Limits{}) }

// Limits returns the limits, which apply to all instances together.
func (l *Limiter) Limits() catalogue.Limits { return l.limits }

// Demand returns the demand to send to the steward.
func (l *Limiter) Demand(now time.Time) Demand {
	return Demand{Running: l.running, Waiting: l.waiting, Requests: l.submitted.rate(now), Tokens: l.used.rate(now)}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
