package routing

import (
	"math"
	"slices"
	"time"
)

// chooseEndpoint returns the endpoint with the lowest score among a sample of those that have room for the request, or nil if none has.
// It records the candidates in the request's decision.
func (c *Core) chooseEndpoint(r *Request, now time.Time) *endpointState {
	if r.pool.isPlain() {
		return c.chooseOfPair(r, now)
	}
	endpoints := r.pool.endpoints
	offset := 0
	if len(endpoints) > 1 {
		offset = c.config.Random.IntN(len(endpoints))
	}
	r.decision.Candidates = r.decision.Candidates[:0]
	runProfile, remaining := profile{}, r.remainingTokens()
	runProfile.add(r)
	var best *endpointState
	least, fitting, appliesToAll := math.Inf(1), 0, true
	for i := range endpoints {
		e := endpoints[(offset+i)%len(endpoints)]
		candidate := c.assess(r, e, &runProfile, remaining, now)
		r.decision.addCandidate(candidate)
		switch candidate.Verdict {
		case VerdictNoMemory, VerdictExcluded, VerdictClosing, VerdictVersion:
			appliesToAll = false
		}
		if candidate.Verdict != VerdictFits {
			continue
		}
		fitting++
		if candidate.Score < least {
			best, least = e, candidate.Score
			r.decision.includeBest(candidate)
		}
		if fitting == c.config.SampleSize {
			break
		}
	}
	if best == nil && appliesToAll { // no other request of the entry would find room either
		r.pool.fullRound = c.round
	}
	return best
}

// assess returns an endpoint's verdict for a request and, if the request fits there, its score.
func (c *Core) assess(r *Request, e *endpointState, runProfile *profile, remaining float64, now time.Time) Candidate {
	candidate := Candidate{Endpoint: e.address, Verdict: r.ineligibility(e, now)}
	if candidate.Verdict != "" {
		return candidate
	}
	if !c.mayFinishAt(r, e, now, now) {
		candidate.Verdict = VerdictClosing
		return candidate
	}
	share := e.currentShare(c.config.Instances, now)
	if e.running() >= share.Slots {
		candidate.Verdict = VerdictNoSlots
		return candidate
	}
	e.refreshProfile(now)
	peak := e.profile.peakWith(runProfile, share.Spread)
	if peak > float64(share.Memory) && !r.mayStartAlone(e, now) {
		candidate.Verdict = VerdictNoMemory
		return candidate
	}
	candidate.Verdict = VerdictFits
	candidate.Memory = peak / float64(max(share.Memory, 1))
	candidate.Batch = e.batch(now)
	candidate.CachedTokens = min(e.cache.Match(r.spec.Prefix)*blockTokens, float64(r.promptTokens()))
	engine := r.pool.promptsAt(e, now)
	candidate.FirstToken = engine.Delay(r.missingTokens(candidate))
	candidate.Score = c.score(r, e, candidate, remaining) + c.promptCost(r, &engine, candidate, now)
	return candidate
}

// mayStartAlone reports whether a request may start without enough memory in the share: it has waited for ageingStep and no other run of
// this instance is on the endpoint. Otherwise a request that exceeds every share would never start.
func (r *Request) mayStartAlone(e *endpointState, now time.Time) bool {
	return e.running() == 0 && now.Sub(r.submitted) >= ageingStep
}

// ineligibility returns why an endpoint may not serve a request, whatever room it has; it is empty if the endpoint is eligible.
func (r *Request) ineligibility(e *endpointState, now time.Time) Verdict {
	if e.leaving() {
		return VerdictLeaving
	}
	return r.unavailability(e, now)
}

// unavailability is ineligibility for a request that may be sent to an endpoint which is leaving.
func (r *Request) unavailability(e *endpointState, now time.Time) Verdict {
	if slices.Contains(r.spec.Exclude, e.address) {
		return VerdictExcluded
	}
	if !r.needsVersionOf(e) {
		return VerdictVersion
	}
	if !e.load.Ready() {
		return VerdictNotReady
	}
	if e.health.Blocked(now) {
		return VerdictEjected
	}
	if now.Before(e.restsUntil) {
		return VerdictResting
	}
	if !e.quota.allows(r, now) {
		return VerdictRateLimited
	}
	return ""
}

// score returns the predicted seconds from the request's first token on an endpoint to its end, plus the delay that its answer causes for the runs
// already there.
func (c *Core) score(r *Request, e *endpointState, candidate Candidate, remaining float64) float64 {
	step := e.speed.Step(candidate.Batch + 1).Seconds()
	slowdown := step - e.speed.Step(candidate.Batch).Seconds()
	score := remaining * step
	score += remaining * slowdown * float64(candidate.Batch)
	if candidate.Memory > memoryPressureThreshold {
		score += remaining * step * memoryPressureCost * (candidate.Memory - memoryPressureThreshold)
	}
	score += float64(e.load.Waiting) * step
	if e.doubted {
		score += doubtedSeconds
	}
	if excess := candidate.Batch + 1 - r.spec.MovableRuns; r.spec.MovableRuns > 0 && excess > 0 {
		score += immovableRunSeconds * float64(excess)
	}
	return score + c.remoteCost(r, e)
}

// remoteCost returns the seconds that are added to the score of an endpoint outside the preferred data centre, and zero for one inside it.
func (c *Core) remoteCost(r *Request, e *endpointState) float64 {
	preferred, cost := c.config.DataCentre, remoteSeconds
	if r.spec.PreferredDataCentre != "" {
		preferred = r.spec.PreferredDataCentre
	}
	if r.spec.RemoteCost > 0 {
		cost = r.spec.RemoteCost
	}
	if e.dataCentre == preferred {
		return 0
	}
	return cost
}

// chooseOfPair returns the endpoint with the fewest requests in progress of a random pair of a plain service's eligible endpoints, or nil
// if none is eligible.
func (c *Core) chooseOfPair(r *Request, now time.Time) *endpointState {
	endpoints := r.pool.endpoints
	var pair [2]*endpointState
	var lastResort *endpointState // one that may be leaving
	found := 0
	offset := c.config.Random.IntN(max(len(endpoints), 1))
	for i := range endpoints {
		e := endpoints[(offset+i*pairStride(len(endpoints)))%len(endpoints)]
		if r.ineligibility(e, now) != "" {
			continue
		}
		if e.doubted {
			lastResort = e
			continue
		}
		pair[found] = e
		if found++; found == len(pair) {
			break
		}
	}
	switch {
	case found == 0:
		return lastResort
	case found == 2 && pair[1].running() < pair[0].running():
		return pair[1]
	default:
		return pair[0]
	}
}

// pairStride returns a stride that is coprime to the count, so that stepping by it visits each endpoint once.
func pairStride(count int) int {
	for stride := count/2 + 1; stride > 1; stride-- {
		if coprime(stride, count) {
			return stride
		}
	}
	return 1
}

func coprime(a, b int) bool {
	for b != 0 {
		a, b = b, a%b
	}
	return a == 1
}
