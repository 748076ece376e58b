package suspicion

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dogwooddyke/state/process"
	"dogwooddyke/state/prompt"
)

// Crash is the end of an endpoint's process while it had requests for which it had not produced any output.
type Crash struct {
	Process process.ID
	At      time.Time
	Prompts [][]prompt.Part // parts of these requests' prompts
}

// Names reports whether a part is in the prompt of one of the requests.
func (c *Crash) Names(p prompt.Part) bool {
	return slices.ContainsFunc(c.Prompts, func(parts []prompt.Part) bool { return slices.Contains(parts, p) })
}

// Table holds crashes, and when endpoints last produced output on prompts with a part. It does no I/O and is not safe for concurrent use;
// callers pass the current time.
//
// A part that crashes endpoints is in a prompt of each crash that it causes, and endpoints never produce output on it. So a part on which an
// endpoint has produced output since a crash has not caused that crash.
type Table struct {
	crashes  []*Crash // by time
	answers  map[prompt.Part]time.Time
	suspects map[prompt.Part]Suspect // computed from the others; nil: to be computed
}

// Suspect is a part that explains crashes.
type Suspect struct {
	Crashes int       // that count against the part
	Latest  time.Time // of the crashes that the part explains
}

// NewTable returns a table without crashes.
func NewTable() *Table { return &Table{answers: make(map[prompt.Part]time.Time)} }

// AddCrash adds what is known of a crash, and reports whether any of it is new.
func (t *Table) AddCrash(c Crash) bool {
	known := t.crash(c.Process)
	if known == nil {
		known = &Crash{Process: c.Process, At: c.At}
	}
	added := false
	for _, parts := range c.Prompts {
		listed := slices.ContainsFunc(known.Prompts, func(other []prompt.Part) bool { return slices.Equal(other, parts) })
		if listed || len(parts) == 0 || len(known.Prompts) >= maximumPrompts {
			continue
		}
		known.Prompts = append(known.Prompts, slices.Clone(parts))
		added = true
	}
	if added {
		t.insert(known)
		t.suspects = nil
	}
	return added
}

// crash returns the crash of a process; nil if it is not known.
func (t *Table) crash(p process.ID) *Crash {
	n := slices.IndexFunc(t.crashes, func(c *Crash) bool { return c.Process == p })
	if n < 0 {
		return nil
	}
	return t.crashes[n]
}

// insert adds a crash unless the table has it already. If there are too many, the oldest is dropped.
func (t *Table) insert(c *Crash) {
	if slices.Contains(t.crashes, c) {
		return
	}
	if len(t.crashes) >= maximumCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
	n, _ := slices.BinarySearchFunc(t.crashes, c, func(a, b *Crash) int { return a.At.Compare(b.At) })
	t.crashes = slices.Insert(t.crashes, n, c)
}

// AddAnswer records that an endpoint has produced output on a prompt with a part, and reports whether that clears the part of a crash.
func (t *Table) AddAnswer(p prompt.Part, at time.Time) bool {
	last, found := t.answers[p]
	if found && !last.Before(at) {
		return false
	}
	clears := slices.ContainsFunc(t.crashes, func(c *Crash) bool { return c.At.After(last) && !c.At.After(at) && c.Names(p) })
	if !found && len(t.answers) >= maximumAnswers {
		t.forgetAnswers(at)
	}
	if found || clears || len(t.answers) < maximumAnswers {
		t.answers[p] = at
	}
	if clears {
		t.suspects = nil
	}
	return clears
}

// forgetAnswers forgets old answers on parts that no crash names.
func (t *Table) forgetAnswers(now time.Time) {
	named := make(map[prompt.Part]bool)
	for _, c := range t.crashes {
		for _, parts := range c.Prompts {
			for _, p := range parts {
				named[p] = true
			}
		}
	}
	maps.DeleteFunc(t.answers, func(p prompt.Part, at time.Time) bool { return now.Sub(at) > answerLifetime && !named[p] })
}

// AnsweredAt returns when an endpoint last produced output on a prompt with a part; zero if that is not known.
func (t *Table) AnsweredAt(p prompt.Part) time.Time { return t.answers[p] }

// Crashes returns the crashes that parts of prompts may have caused or that were cleared lately, the newest first; they must not be changed.
func (t *Table) Crashes(now time.Time) []*Crash {
	t.expire(now)
	crashes := slices.Clone(t.crashes)
	slices.Reverse(crashes)
	return crashes
}

// Blamed returns the crashes that a part may have caused, as a number, also if other parts explain them better.
func (t *Table) Blamed(p prompt.Part, now time.Time) int {
	t.expire(now)
	count := candidate{part: p}
	for _, c := range t.crashes {
		if t.MayHaveCaused(p, c) {
			count.add(c.At)
		}
	}
	return count.crashes
}

// IsUnexplained reports whether a part may have caused a crash that no other part with at least the given number of crashes explains.
func (t *Table) IsUnexplained(p prompt.Part, crashes int, now time.Time) bool {
	suspects := t.Suspects(now)
	return slices.ContainsFunc(t.crashes, func(c *Crash) bool {
		if !t.MayHaveCaused(p, c) {
			return false
		}
		for other, suspect := range suspects {
			if other != p && suspect.Crashes >= crashes && t.MayHaveCaused(other, c) {
				return false
			}
		}
		return true
	})
}

// Suspects returns the parts that explain the crashes; the map must not be changed.
func (t *Table) Suspects(now time.Time) map[prompt.Part]Suspect {
	t.expire(now)
	if t.suspects == nil {
		t.suspects = t.explain()
	}
	return t.suspects
}

// expire forgets old crashes, and those that have been cleared for a while.
func (t *Table) expire(now time.Time) {
	before := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c *Crash) bool {
		age := now.Sub(c.At)
		return age > crashLifetime || age > clearedLifetime && t.IsCleared(c)
	})
	if len(t.crashes) != before {
		t.suspects = nil
	}
}

// IsCleared reports whether no part of a prompt explains a crash any more.
func (t *Table) IsCleared(c *Crash) bool {
	for _, parts := range c.Prompts {
		if slices.ContainsFunc(parts, func(p prompt.Part) bool { return t.MayHaveCaused(p, c) }) {
			return false
		}
	}
	return true
}

// MayHaveCaused reports whether a part may have caused a crash.
func (t *Table) MayHaveCaused(p prompt.Part, c *Crash) bool {
	return c.At.After(t.answers[p]) && c.Names(p)
}

// explain chooses parts until all crashes are explained, each time the one that explains most of the crashes that are left. Sound parts of the
// same prompts are named by the same crashes, so a part counts only for crashes that no part before it explains.
func (t *Table) explain() map[prompt.Part]Suspect {
	suspects := make(map[prompt.Part]Suspect)
	left := slices.Clone(t.crashes)
	for {
		best := t.bestExplanation(left)
		if best == nil {
			return suspects
		}
		if count := t.weight(best); count > 0 {
			suspects[best.part] = Suspect{Crashes: count, Latest: best.latest}
		}
		left = slices.DeleteFunc(left, func(c *Crash) bool { return t.MayHaveCaused(best.part, c) })
	}
}

// bestExplanation returns the part that explains most of the crashes, nil if none explains any. Of equals, it is the one that stands last in
// its prompt: prompts share their first parts more often than the later ones.
func (t *Table) bestExplanation(crashes []*Crash) *candidate {
	candidates := make(map[prompt.Part]*candidate)
	for _, crash := range crashes {
		for p, depth := range crash.depths() {
			if !t.MayHaveCaused(p, crash) {
				continue
			}
			c := candidates[p]
			if c == nil {
				c = &candidate{part: p}
				candidates[p] = c
			}
			c.depth = max(c.depth, depth)
			c.add(crash.At)
		}
	}
	var best *candidate
	for _, c := range candidates {
		if best == nil || t.compare(c, best) > 0 {
			best = c
		}
	}
	return best
}

// depths returns the parts of the prompts with their latest place in one of them.
func (c *Crash) depths() map[prompt.Part]int {
	depths := make(map[prompt.Part]int)
	for _, parts := range c.Prompts {
		for n, p := range parts {
			depths[p] = max(depths[p], n)
		}
	}
	return depths
}

// weight returns the crashes that count against a candidate: fewer for a part that was sound until the first of them.
func (t *Table) weight(c *candidate) int {
	answered := t.answers[c.part]
	if !answered.IsZero() && c.first.Sub(answered) <= answerLifetime {
		return max(c.crashes-soundAllowance, 0)
	}
	return c.crashes
}

// compare compares two candidates by how well they explain crashes.
func (t *Table) compare(a, b *candidate) int {
	return cmp.Or(cmp.Compare(t.weight(a), t.weight(b)), cmp.Compare(a.crashes, b.crashes), cmp.Compare(a.depth, b.depth), cmp.Compare(a.part, b.part))
}

// candidate is a part that may have caused crashes.
type candidate struct {
	part    prompt.Part
	depth   int // its latest place in a prompt
	crashes int // at different times
	first   time.Time
	latest  time.Time
	counted time.Time // the latest crash that was counted
}

// add adds a crash; crashes are added in order of time.
func (c *candidate) add(at time.Time) {
	c.latest = at
	if c.crashes > 0 && at.Sub(c.counted) < crashSpacing {
		return
	}
	if c.crashes == 0 {
		c.first = at
	}
	c.crashes++
	c.counted = at
}
