package routing

import (
	"math"
	"slices"
	"time"

	"dogwooddyke/state/catalogue"
)

// choose gives the best of a few endpoints that have room for the request, or nil; it notes the candidates.
func (c *Core) choose(f *Flight, now time.Time) *account {
	if f.pool.entry.Kind == catalogue.KindService {
		return c.choosePair(f, now)
	}
	accounts := f.pool.accounts
	offset := 0
	if len(accounts) > 1 {
		offset = c.config.Random.IntN(len(accounts))
	}
	f.decision.Candidates = f.decision.Candidates[:0]
	own, length := profile{}, f.remaining()
	own.add(f)
	var best *account
	least, fits, slotless := math.Inf(1), 0, true
	for i := range accounts {
		a := accounts[(offset+i)%len(accounts)]
		candidate := c.assess(f, a, &own, length, now)
		f.decision.note(candidate)
		if candidate.Verdict == VerdictMemory || candidate.Verdict == VerdictExcluded {
			slotless = false
		}
		if candidate.Verdict != VerdictFits {
			continue
		}
		fits++
		if candidate.Score < least {
			best, least = a, candidate.Score
			f.decision.keep(candidate)
		}
		if fits == c.config.Sample {
			break
		}
	}
	if best == nil && slotless {
		f.pool.full = c.round
	}
	return best
}

// assess judges one endpoint for a request.
func (c *Core) assess(f *Flight, a *account, own *profile, length float64, now time.Time) Candidate {
	candidate := Candidate{Endpoint: a.address, Verdict: f.barred(a, now)}
	if candidate.Verdict != "" {
		return candidate
	}
	share := a.current(c.config.Instances, now)
	if a.running() >= share.Slots {
		candidate.Verdict = VerdictSlots
		return candidate
	}
	a.foresee(now)
	peak := a.profile.with(own, share.Spread)
	if peak > float64(share.Memory) && !f.overdue(a, now) {
		candidate.Verdict = VerdictMemory
		return candidate
	}
	candidate.Verdict = VerdictFits
	candidate.Memory = peak / float64(max(share.Memory, 1))
	candidate.Batch = a.batch(now)
	candidate.Saved = min(a.cache.Match(f.ask.Prefix)*blockTokens, float64(f.prompt()))
	candidate.Score = c.score(f, a, candidate, length)
	return candidate
}

// overdue lets a request that no share is large enough for start alone, once it has waited.
func (f *Flight) overdue(a *account, now time.Time) bool {
	return a.running() == 0 && now.Sub(f.submitted) >= ageStep
}

// barred tells why an endpoint may not serve a request at all; it is empty when it may.
func (f *Flight) barred(a *account, now time.Time) Verdict {
	if a.leaving() {
		return VerdictLeaving
	}
	if slices.Contains(f.ask.Exclude, a.address) {
		return VerdictExcluded
	}
	if !a.load.Ready() {
		return VerdictNotReady
	}
	if a.health.Blocked(now) {
		return VerdictEjected
	}
	return ""
}

// score predicts the seconds to the request's end on an endpoint, with what it costs those already there.
func (c *Core) score(f *Flight, a *account, candidate Candidate, length float64) float64 {
	step := a.speed.Step(candidate.Batch + 1).Seconds()
	added := step - a.speed.Step(candidate.Batch).Seconds()
	score := (float64(f.prompt())-candidate.Saved)*a.prefill*float64(candidate.Batch+1) + length*step
	score += length * added * float64(candidate.Batch)
	if candidate.Memory > tightMemory {
		score += length * step * tightCost * (candidate.Memory - tightMemory)
	}
	score += float64(a.load.Waiting) * step
	score += c.config.PromptWeight * float64(a.prompts()) * a.prefill
	if over := candidate.Batch + 1 - f.ask.Movable; f.ask.Movable > 0 && over > 0 {
		score += crowdSeconds * float64(over)
	}
	return score + c.distance(f, a)
}

// distance gives the seconds that an endpoint costs for standing in another data centre.
func (c *Core) distance(f *Flight, a *account) float64 {
	near, cost := c.config.DataCentre, remoteSeconds
	if f.ask.Near != "" {
		near = f.ask.Near
	}
	if f.ask.FarCost > 0 {
		cost = f.ask.FarCost
	}
	if a.dataCentre == near {
		return 0
	}
	return cost
}

// choosePair gives the one with the least in flight of a random pair of a plain service's endpoints.
func (c *Core) choosePair(f *Flight, now time.Time) *account {
	accounts := f.pool.accounts
	var pair [2]*account
	found := 0
	offset := c.config.Random.IntN(max(len(accounts), 1))
	for i := range accounts {
		a := accounts[(offset+i*pairStride(len(accounts)))%len(accounts)]
		verdict := f.barred(a, now)
		if verdict != "" {
			continue
		}
		pair[found] = a
		if found++; found == len(pair) {
			break
		}
	}
	if found == 2 && pair[1].running() < pair[0].running() {
		return pair[1]
	}
	return pair[0]
}

// pairStride gives a step that visits each of the endpoints once.
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

func (a *account) observePrefill(f *Flight, first time.Duration) {
	if f.uncached < 1 {
		return
	}
	step := a.speed.Step(a.running()).Seconds()
	seconds := max(first.Seconds()-step, 0) / f.uncached
	a.prefill = prefillDecay*a.prefill + (1-prefillDecay)*min(seconds, 10*priorPrefill)
}
