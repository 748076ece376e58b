package suspicion

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"dogwooddyke/state/prompt"
)

// Crash is the end of an endpoint's process while requests were there for which it had not produced any output.
type Crash struct {
	Endpoint netip.AddrPort
	At       time.Time
	Prompts  [][]prompt.Part // parts of these requests' prompts
}

// names reports whether a part is in the prompt of one of the requests.
func (c *Crash) names(p prompt.Part) bool {
	return slices.ContainsFunc(c.Prompts, func(parts []prompt.Part) bool { return slices.Contains(parts, p) })
}

// Table holds crashes and, for the parts that they name, when an endpoint last produced output on a prompt with that part. It does no I/O and is
// not safe for concurrent use; callers pass the current time.
//
// A part that crashes endpoints is in a prompt of each crash that it causes, and no endpoint produces output on it. A part that endpoints
// have produced output on after a crash has not caused that crash.
type Table struct {
	crashes  []*Crash // by time
	answered map[prompt.Part]time.Time
	suspects map[prompt.Part]Suspect // computed from the others; nil: to be computed
}

// Suspect is a part that explains crashes.
type Suspect struct {
	Crashes int       // that the part explains; those at about the same time count once
	Latest  time.Time // of these
}

// NewTable returns a table without crashes.
func NewTable() *Table { return &Table{answered: make(map[prompt.Part]time.Time)} }

// AddCrash adds what is known of a crash, and reports whether any of it is new.
func (t *Table) AddCrash(c Crash) bool {
	known := t.find(c)
	if known == nil {
		if len(t.crashes) >= maximumCrashes {
			t.crashes = slices.Delete(t.crashes, 0, 1)
		}
		known = &Crash{Endpoint: c.Endpoint, At: c.At}
		t.crashes = append(t.crashes, known)
		slices.SortStableFunc(t.crashes, func(a, b *Crash) int { return a.At.Compare(b.At) })
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
		t.suspects = nil
	}
	return added
}

// find returns the known crash that another report of a crash is about; nil if there is none.
func (t *Table) find(c Crash) *Crash {
	for _, known := range t.crashes {
		if known.Endpoint == c.Endpoint && known.At.Sub(c.At).Abs() <= sameCrash {
			return known
		}
	}
	return nil
}

// AddAnswer records that an endpoint has produced output on a prompt with a part, and reports whether that clears the part of a crash.
func (t *Table) AddAnswer(p prompt.Part, at time.Time) bool {
	last, found := t.answered[p]
	if found && !last.Before(at) {
		return false
	}
	if !found && len(t.answered) >= maximumAnswered {
		t.forgetAnswers(at)
	}
	cleared := t.blamed(p, last, at)
	if found || len(t.answered) < maximumAnswered || cleared {
		t.answered[p] = at
	}
	if cleared {
		t.suspects = nil
	}
	return cleared
}

// blamed reports whether a crash between the two times names a part.
func (t *Table) blamed(p prompt.Part, after, until time.Time) bool {
	return slices.ContainsFunc(t.crashes, func(c *Crash) bool { return c.At.After(after) && !c.At.After(until) && c.names(p) })
}

// forgetAnswers forgets old answers on parts that no crash names.
func (t *Table) forgetAnswers(now time.Time) {
	maps.DeleteFunc(t.answered, func(p prompt.Part, at time.Time) bool {
		return now.Sub(at) > answeredLifetime && !t.blamed(p, time.Time{}, now)
	})
}

// AnsweredAt returns when an endpoint last produced output on a prompt with a part; zero if that is not known.
func (t *Table) AnsweredAt(p prompt.Part) time.Time { return t.answered[p] }

// Suspect returns what a part is suspected of; the zero value if of nothing.
func (t *Table) Suspect(p prompt.Part, now time.Time) Suspect { return t.Suspects(now)[p] }

// Suspects returns the parts that explain the crashes, as few as possible; the map must not be changed.
func (t *Table) Suspects(now time.Time) map[prompt.Part]Suspect {
	t.expire(now)
	if t.suspects == nil {
		t.suspects = t.explain()
	}
	return t.suspects
}

// expire forgets the crashes whose lifetime has passed.
func (t *Table) expire(now time.Time) {
	count := 0
	for count < len(t.crashes) && now.Sub(t.crashes[count].At) > crashLifetime {
		count++
	}
	if count > 0 {
		t.crashes = slices.Delete(t.crashes, 0, count)
		t.suspects = nil
	}
}

// explain chooses parts until they explain all crashes: each time the one that explains most of those that are left. Sound parts that are
// often used together with a part that crashes endpoints are at the same crashes, but endpoints produce output on them in between.
func (t *Table) explain() map[prompt.Part]Suspect {
	suspects := make(map[prompt.Part]Suspect)
	left := slices.Clone(t.crashes)
	for len(left) > 0 {
		best, found := t.bestExplanation(left)
		if !found {
			break
		}
		suspects[best.part] = best.Suspect
		left = slices.DeleteFunc(left, func(c *Crash) bool { return t.explains(best.part, c) })
	}
	return suspects
}

// explains reports whether a part may have caused a crash.
func (t *Table) explains(p prompt.Part, c *Crash) bool {
	return c.At.After(t.answered[p]) && c.names(p)
}

// candidate is a part that may have caused crashes.
type candidate struct {
	Suspect
	part  prompt.Part
	depth int // of its last place in a prompt
}

// bestExplanation returns the part that explains most of the crashes. Of equals, it is the one that stands last in its prompt: prompts share
// their first parts more often than the later ones.
func (t *Table) bestExplanation(crashes []*Crash) (candidate, bool) {
	candidates := make(map[prompt.Part]*candidate)
	for _, c := range crashes {
		for _, parts := range c.Prompts {
			for depth, p := range parts {
				if t.explains(p, c) {
					t.count(candidates, p, depth, c.At)
				}
			}
		}
	}
	if len(candidates) == 0 {
		return candidate{}, false
	}
	best := slices.MaxFunc(slices.Collect(maps.Values(candidates)), func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(a.depth, b.depth), cmp.Compare(a.part, b.part))
	})
	return *best, true
}

// count counts a crash for a part; crashes come in order of time.
func (t *Table) count(candidates map[prompt.Part]*candidate, p prompt.Part, depth int, at time.Time) {
	c := candidates[p]
	if c == nil {
		c = &candidate{part: p}
		candidates[p] = c
	}
	c.depth = max(c.depth, depth)
	if c.Crashes == 0 || at.Sub(c.Latest) >= crashSpacing {
		c.Crashes++
		c.Latest = at
	}
}

// Crashes returns the crashes of which no part has been cleared entirely, the newest first.
func (t *Table) Crashes() []Crash {
	crashes := make([]Crash, 0, len(t.crashes))
	for _, c := range slices.Backward(t.crashes) {
		crashes = append(crashes, *c)
	}
	return crashes
}
