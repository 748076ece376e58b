package suspicion

import (
	"maps"
	"slices"
	"time"

	"dogwooddyke/state/prompt"
)

// AddAnswer records that an endpoint has answered on a part, and reports whether that clears the part of a crash.
func (t *Table) AddAnswer(p prompt.Part, at time.Time) bool {
	last, found := t.answers[p]
	if found && !last.Before(at) {
		return false
	}
	clears := slices.ContainsFunc(t.byPart[p], func(c *Crash) bool { return c.At.After(last) && !c.At.After(at) })
	if !found && len(t.answers) >= maximumAnswers && !at.Before(t.forgetAt) {
		t.forgetAnswers(at)
	}
	if found || clears || len(t.answers) < maximumAnswers {
		t.answers[p] = at
	}
	if clears && t.several[p] {
		t.suspects = nil
	}
	return clears
}

// forgetAnswers forgets old answers on parts that no crash names; if none is old, the older half, so that it is rarely called.
func (t *Table) forgetAnswers(now time.Time) {
	t.forgetAt = now.Add(forgetInterval)
	maps.DeleteFunc(t.answers, func(p prompt.Part, at time.Time) bool { return now.Sub(at) > answerLifetime && t.byPart[p] == nil })
	if len(t.answers) < maximumAnswers {
		return
	}
	times := slices.SortedFunc(maps.Values(t.answers), time.Time.Compare)
	median := times[len(times)/2]
	maps.DeleteFunc(t.answers, func(p prompt.Part, at time.Time) bool { return at.Before(median) && t.byPart[p] == nil })
}

// AnsweredAt returns when an endpoint last answered on a part; zero if that is not known.
func (t *Table) AnsweredAt(p prompt.Part) time.Time { return t.answers[p] }

// IsCleared reports whether no part of a request explains a crash any more.
func (t *Table) IsCleared(c *Crash) bool {
	for _, parts := range c.Prompts {
		if slices.ContainsFunc(parts, func(p prompt.Part) bool { return t.MayHaveCaused(p, c) }) {
			return false
		}
	}
	return true
}

// MayHaveCaused reports whether a part, which a crash names, may have caused it.
func (t *Table) MayHaveCaused(p prompt.Part, c *Crash) bool { return c.At.After(t.answers[p]) }
