package statement

import (
	"time"

	"dogwooddyke/state/ratelimit"
)

// Statement is what one answer of an endpoint says of the endpoint itself, whatever was asked.
type Statement struct {
	Health    bool // the answer is to a question for the endpoint's health
	Signed    bool // the answer carries the endpoint's signature
	RateLimit RateLimit
	Rest      Rest
	ColdFor   time.Duration // for which the endpoint stays cold, having just started; zero: it says nothing of that
	Closes    bool          // the endpoint ends the connection though the request did not ask for that: it may be leaving
	Replaced  bool          // another process answers at the endpoint's address
}

// RateLimit is what an answer says of the endpoint's rate limit.
type RateLimit struct {
	Limit ratelimit.Limit
	Err   error // why the value can't be read; the answer then says nothing of the limit
}

// Rest is the time in which the endpoint asks to be sent nothing.
type Rest struct {
	For time.Duration // zero: it does not ask
	All bool          // it asks all instances; else only the one that gets the answer
	Err error         // why the value can't be read; the answer then asks for nothing
}

// StatedLimit returns what the answer says of the endpoint's rate limit, and whether it says anything. An answer that names no limit says that
// there is none only if the endpoint has signed it: a refusal may come from a part of the endpoint that does not know the limit, and unsigned
// bytes may not come from the endpoint at all.
func (s Statement) StatedLimit() (ratelimit.Limit, bool) {
	return s.RateLimit.Limit, s.RateLimit.Err == nil && (s.Signed || s.RateLimit.Limit.Named)
}
