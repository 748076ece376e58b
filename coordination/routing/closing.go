package routing

import (
	"slices"
	"time"
)

// SetClosing sets the time until which answers must have ended, because the instance is being stopped. Requests that are not likely to end by then
// are refused, also those that wait already: another instance can serve them whole. The zero time means that there is no limit.
func (c *Core) SetClosing(at time.Time) { c.closing = at }

// mayFinish reports whether the answer to a request that starts at the given time is likely to end before the instance closes, at one of the endpoints.
func (c *Core) mayFinish(r *Request, start, now time.Time) bool {
	if c.isBound(r) {
		return true
	}
	if r.pool.isPlain() {
		return !start.Add(r.longestPlainAnswer()).After(c.closing)
	}
	return slices.ContainsFunc(r.pool.endpoints, func(e *endpointState) bool {
		return !e.leaving() && !slices.Contains(r.spec.Exclude, e.address) && r.needsVersionOf(e) && c.mayFinishAt(r, e, latest(start, e.restsUntil), now)
	})
}

// mayFinishAt is mayFinish for one engine.
func (c *Core) mayFinishAt(r *Request, e *endpointState, start, now time.Time) bool {
	return c.isBound(r) || !start.Add(r.longestAnswer(e, now)).After(c.closing)
}

// isBound reports whether a request is served as long as the instance is there: it is not closing, or a refusal would come too late.
func (c *Core) isBound(r *Request) bool { return c.closing.IsZero() || r.inProgress || r.spec.Begun }

// refuseUnfinishable refuses the queued requests that are not likely to end before the instance closes.
func (c *Core) refuseUnfinishable(now time.Time) {
	if c.closing.IsZero() {
		return
	}
	for _, r := range c.queue.all() {
		if c.mayFinish(r, now, now) {
			continue
		}
		c.Withdraw(r, ReasonDraining, now)
		r.refusal.RetryAt = now.Add(minimumRetryDelay)
		c.decidedRequests = append(c.decidedRequests, r)
	}
}

// longestPlainAnswer returns the time in which all but few answers of a plain service end.
func (r *Request) longestPlainAnswer() time.Duration {
	return max(plainAnswerFactor*r.target(), minimumPlainAnswer)
}

// longestAnswer returns the time in which all but few answers like the request's end if it starts at an engine now: by the limit of its output if that
// is known, else by the answers so far. Prompts that are being processed there go first, and more may come.
func (r *Request) longestAnswer(e *endpointState, now time.Time) time.Duration {
	emitted := int(r.emittedTokens.Load())
	tokens := max(r.spec.MaximumTokens-emitted, 0)
	if r.spec.MaximumTokens <= 0 {
		tokens = r.lengthHistogram.Quantile(emitted, longAnswerProbability)
	}
	engine := r.pool.promptsAt(e, now)
	prompts := time.Duration((engine.Tokens() + float64(r.promptTokens())) * float64(engine.TokenTime))
	recent, _ := e.speed.Recent()
	step := max(e.speed.Step(e.batch(now)+1), recent) // estimates for small batches may rest on large ones only
	return time.Duration(slowAnswerFactor*float64(time.Duration(tokens)*step+prompts)) + busyAnswerMargin
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// target returns the time in which the answer of a plain service is on time. A request that is sent again late has little or nothing left until its
// first token is due, but its answer takes as long as any.
func (r *Request) target() time.Duration {
	if r.spec.Target > 0 {
		return r.spec.Target
	}
	return r.spec.FirstTokenDeadline.Sub(r.submitted)
}
