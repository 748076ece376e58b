package routing

import "time"

// SetClosing sets the time until which answers must have ended, because the instance is being stopped. Requests that are not likely to end by then
// are refused, also those that wait already: another instance can serve them whole. The zero time means that there is no limit.
func (c *Core) SetClosing(at time.Time) { c.closing = at }

// mayFinish reports whether the answer to a request that starts now is likely to end before the instance closes.
func (c *Core) mayFinish(r *Request, now time.Time) bool {
	return c.closing.IsZero() || !now.Add(r.longestAnswer(now)).After(c.closing)
}

// refuseUnfinishable refuses the queued requests that are not likely to end before the instance closes.
func (c *Core) refuseUnfinishable(now time.Time) {
	if c.closing.IsZero() {
		return
	}
	for _, r := range c.queue.all() {
		if c.mayFinish(r, now) {
			continue
		}
		c.Withdraw(r, ReasonDraining, now)
		r.refusal.RetryAt = now.Add(minimumRetryDelay)
		c.decidedRequests = append(c.decidedRequests, r)
	}
}

// longestAnswer returns the time from the start of a request in which its answer ends: by the limit of its output if that is known, else the time in
// which all but few answers like it end.
func (r *Request) longestAnswer(now time.Time) time.Duration {
	if r.pool.isPlain() {
		return max(plainAnswerFactor*r.spec.FirstTokenDeadline.Sub(r.submitted), minimumPlainAnswer)
	}
	emitted := int(r.emittedTokens.Load())
	tokens := max(r.spec.MaximumTokens-emitted, 0)
	if r.spec.MaximumTokens <= 0 {
		tokens = r.lengthHistogram.Quantile(emitted, longAnswerProbability)
	}
	_, tokenTime := r.pool.meanSpeed()
	step := r.pool.batchStep(now)
	return time.Duration(slowAnswerFactor * float64(time.Duration(tokens)*step+time.Duration(r.promptTokens())*tokenTime))
}

// batchStep returns the mean time between tokens of the endpoints that take work, with one more run beside those of all instances; for each endpoint
// the time that was lately seen there at least, as estimates for small batches may rest on large ones only.
func (p *pool) batchStep(now time.Time) time.Duration {
	sum, count := time.Duration(0), time.Duration(0)
	for _, e := range p.endpoints {
		if !e.leaving() {
			recent, _ := e.speed.Recent()
			sum += max(e.speed.Step(e.batch(now)+1), recent)
			count++
		}
	}
	if count == 0 {
		return defaultTokenTime
	}
	return sum / count
}
