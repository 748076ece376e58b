package firsttoken

import "time"

// Prompt is a prompt that an engine is processing.
type Prompt struct {
	Tokens   float64   // that are still to be processed
	Deadline time.Time // until which the first token is on time; zero: at any time
}

// Engine is what is known of the prompts at an engine.
type Engine struct {
	TokenTime time.Duration // in which the engine processes one token of a prompt while it has no other prompt
	Prompts   []Prompt
}

// Tokens returns the tokens of all prompts.
func (e *Engine) Tokens() float64 {
	sum := 0.0
	for _, p := range e.Prompts {
		sum += p.Tokens
	}
	return sum
}

// Work returns how many tokens the engine processes until the first token of a prompt with so many tokens that is sent now: as many of each other
// prompt, or all that are left of it.
func (e *Engine) Work(tokens float64) float64 {
	work := tokens
	for _, p := range e.Prompts {
		work += min(p.Tokens, tokens)
	}
	return work
}

// Delay returns the time until the first token of a prompt with so many tokens that is sent now.
func (e *Engine) Delay(tokens float64) time.Duration { return e.timeOf(e.Work(tokens)) }

// LatenessCaused returns by how much the first tokens of the engine's prompts would miss their deadlines because of an added prompt with so many
// tokens, in sum.
func (e *Engine) LatenessCaused(tokens float64, now time.Time) time.Duration {
	sum := time.Duration(0)
	for n := range e.Prompts {
		sum += e.latenessCaused(n, tokens, now)
	}
	return sum
}

// latenessCaused is LatenessCaused for one of the engine's prompts.
func (e *Engine) latenessCaused(n int, tokens float64, now time.Time) time.Duration {
	p := e.Prompts[n]
	if p.Deadline.IsZero() {
		return 0
	}
	work := p.Tokens
	for k, other := range e.Prompts {
		if k != n {
			work += min(other.Tokens, p.Tokens)
		}
	}
	before := now.Add(e.timeOf(work))
	after := before.Add(e.timeOf(min(tokens, p.Tokens)))
	return p.lateness(after) - p.lateness(before)
}

// lateness returns by how much a first token at the given time misses the prompt's deadline.
func (p Prompt) lateness(first time.Time) time.Duration {
	return max(first.Sub(p.Deadline), 0)
}

// timeOf returns the time in which the engine processes so many tokens.
func (e *Engine) timeOf(tokens float64) time.Duration {
	return time.Duration(tokens * float64(e.TokenTime))
}
