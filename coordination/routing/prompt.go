package routing

import (
	"net/netip"
	"slices"
	"time"

	"dogwooddyke/coordination/firsttoken"
)

// tokenTime returns the time in which an endpoint of the pool processes one token of a prompt: its own if it is known, else that of a typical one.
func (p *pool) tokenTime(e *endpointState) time.Duration {
	if own, known := e.prefill.TokenTime(); known {
		return own
	}
	return p.typicalTokenTime
}

// updateTypicalTokenTime sets the time per prompt token that is assumed of endpoints which have not processed a prompt yet: the median of the others.
func (p *pool) updateTypicalTokenTime() {
	known := make([]time.Duration, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		if t, ok := e.prefill.TokenTime(); ok {
			known = append(known, t)
		}
	}
	if len(known) > 0 {
		slices.Sort(known)
		p.typicalTokenTime = known[len(known)/2]
	}
}

// promptsAt returns the prompts that an endpoint is processing. Of other instances' prompts only the sum is known, of which half is left on average.
func (p *pool) promptsAt(e *endpointState, now time.Time) firsttoken.Engine {
	engine := firsttoken.Engine{TokenTime: p.tokenTime(e)}
	for range e.peerPrompts {
		engine.Prompts = append(engine.Prompts, firsttoken.Prompt{Tokens: float64(e.peerPromptTokens) / float64(e.peerPrompts) / 2})
	}
	for _, r := range e.runs {
		if r.emittedTokens.Load() == 0 {
			engine.Prompts = append(engine.Prompts, firsttoken.Prompt{Tokens: r.promptLeft(now), Deadline: r.spec.FirstTokenDeadline})
		}
	}
	return engine
}

// promptLeft returns how much of a run's prompt is probably not processed yet, in tokens.
func (r *Request) promptLeft(now time.Time) float64 {
	span := r.expectedFirst.Sub(r.started)
	if span <= 0 {
		return r.uncachedTokens
	}
	return r.uncachedTokens * max(r.expectedFirst.Sub(now).Seconds()/span.Seconds(), leastPromptLeft)
}

// missingTokens returns the tokens of the request's prompt that an endpoint has to process.
func (r *Request) missingTokens(candidate Candidate) float64 {
	return max(float64(r.promptTokens())-candidate.CachedTokens, 0)
}

// promptCost returns the seconds that the processing of a request's prompt at an endpoint costs.
func (c *Core) promptCost(r *Request, engine *firsttoken.Engine, candidate Candidate, now time.Time) float64 {
	tokens, tokenSeconds := r.missingTokens(candidate), engine.TokenTime.Seconds()
	switch {
	case r.spec.FirstTokenDeadline.IsZero():
		return tokens*tokenSeconds*float64(candidate.Batch+1) + c.config.PromptWeight*engine.Tokens()*tokenSeconds
	case r.spec.GeneratedTokens > 0: // its prompt is copied, not processed
		return r.spreadCost(tokens, candidate.Batch) + c.config.PromptWeight*engine.Tokens()*tokenSeconds
	default:
		return r.firstTokenCost(engine, tokens, now) + r.spreadCost(tokens, candidate.Batch)
	}
}

// firstTokenCost returns the cost of the time until the first token, which rises with the part that it takes of the time left, and of each second by which
// it makes other first tokens late.
func (r *Request) firstTokenCost(engine *firsttoken.Engine, tokens float64, now time.Time) float64 {
	delay := engine.Delay(tokens).Seconds()
	left := max(r.spec.FirstTokenDeadline.Sub(now), leastTimeLeft).Seconds()
	return firstTokenWeight*delay*delay/left + lateFirstTokenWeight*engine.LatenessCaused(tokens, now).Seconds()
}

// spreadCost returns the cost of a run among those that are at an endpoint: the longer its answer, the longer it is slowed down and slows down others,
// and the more of them are lost together if the endpoint is.
func (r *Request) spreadCost(tokens float64, batch int) float64 {
	remaining := r.remainingTokens()
	weight := spreadWeight * remaining / (remaining + longAnswerTokens)
	return weight * tokens * r.pool.typicalTokenTime.Seconds() * float64(batch)
}

// expectFirstToken notes when the first token of a request that starts now is expected, and how much the endpoint processes until then.
func (r *Request) expectFirstToken(e *endpointState, now time.Time) {
	engine := r.pool.promptsAt(e, now)
	r.expectedFirst = now.Add(engine.Delay(r.uncachedTokens))
	r.promptWork = engine.Work(r.uncachedTokens)
}

// observePrefill updates the time per prompt token of a run's endpoint from the time to its first token.
func (c *Core) observePrefill(r *Request, firstTokenDelay time.Duration) {
	if r.uncachedTokens < 1 || r.promptWork < 1 || r.spec.GeneratedTokens > 0 {
		return
	}
	step := r.endpoint.speed.Step(r.endpoint.running())
	r.endpoint.prefill.Observe(time.Duration(float64(firstTokenDelay-step) / r.promptWork))
}

// ObservePeerPrefill adds a time per prompt token that another instance has measured at an engine.
func (c *Core) ObservePeerPrefill(address netip.AddrPort, tokenTime time.Duration) {
	if e := c.endpoints[address]; e != nil && e.prefill.Observe(tokenTime) {
		e.peerPrefillSamples++
	}
}
