package suspicion

import (
	"cmp"
	"slices"
	"time"

	"dogwooddyke/state/prompt"
)

// candidate is a part that may have caused crashes.
type candidate struct {
	part    prompt.Part
	crashes int // at different times
	weight  int // crashes that count against the part
	depth   int // latest place of the part in a prompt
	first   time.Time
	latest  time.Time
	counted time.Time // the latest crash that was counted
	named   []*Crash  // that the part may have caused

	together int // crashes at about the time of the latest that was counted
}

// explain chooses parts that explain several crashes, each time the one that explains most of the crashes that are left. Sound parts of the same
// requests are named by the same crashes, so a part counts only for crashes that no part before it explains.
func (t *Table) explain() map[prompt.Part]Suspect {
	suspects := make(map[prompt.Part]Suspect)
	explained := make(map[*Crash]bool)
	for {
		equals := t.bestExplanations(explained)
		if len(equals) == 0 {
			return suspects
		}
		best := equals[0]
		if best.weight > 0 && (len(equals) <= maximumRivals || best.crashes > severalCrashes) {
			addSuspects(suspects, equals)
		}
		for _, c := range t.byPart[best.part] {
			if t.MayHaveCaused(best.part, c) {
				explained[c] = true
			}
		}
	}
}

// addSuspects adds parts that explain the same crashes equally well.
func addSuspects(suspects map[prompt.Part]Suspect, equals []candidate) {
	for _, e := range equals {
		suspect := Suspect{Crashes: e.weight, Latest: e.latest}
		for _, other := range equals {
			if other.part != e.part {
				suspect.Rivals = append(suspect.Rivals, other.part)
			}
		}
		suspects[e.part] = suspect
	}
}

// bestExplanations returns the part that explains most of the crashes that are not explained yet, and those of other requests that explain the
// same ones equally well; none if no part explains several.
func (t *Table) bestExplanations(explained map[*Crash]bool) []candidate {
	var equals []candidate
	for p := range t.several {
		left := make([]*Crash, 0, len(t.byPart[p]))
		for _, c := range t.byPart[p] {
			if !explained[c] {
				left = append(left, c)
			}
		}
		found := t.count(p, left)
		if found.crashes < severalCrashes {
			continue
		}
		if len(equals) > 0 && found.compareCounts(&equals[0]) > 0 {
			equals = equals[:0]
		}
		if len(equals) == 0 || found.compareCounts(&equals[0]) == 0 {
			equals = append(equals, found)
		}
	}
	slices.SortFunc(equals, func(a, b candidate) int { return b.compare(&a) })
	return t.withoutCompanions(equals)
}

// withoutCompanions returns the first of the candidates, which are ordered, and those that are in the same crashes, but never in one request with
// a candidate before them.
func (t *Table) withoutCompanions(equals []candidate) []candidate {
	var kept []candidate
	for _, e := range equals {
		if len(kept) > 0 && !slices.Equal(e.named, kept[0].named) {
			continue
		}
		isCompanion := func(k candidate) bool { return t.shareRequest(k.part, e.part) }
		if !slices.ContainsFunc(kept, isCompanion) {
			kept = append(kept, e)
		}
	}
	return kept
}

// shareRequest reports whether a crash names two parts in one request.
func (t *Table) shareRequest(a, b prompt.Part) bool {
	return slices.ContainsFunc(t.byPart[a], func(c *Crash) bool {
		return slices.ContainsFunc(c.Prompts, func(parts []prompt.Part) bool {
			return slices.Contains(parts, a) && slices.Contains(parts, b)
		})
	})
}

// count returns what the crashes that a part may have caused say of it; they are ordered by time.
func (t *Table) count(p prompt.Part, crashes []*Crash) candidate {
	found := candidate{part: p}
	for _, c := range crashes {
		if t.MayHaveCaused(p, c) {
			found.add(c)
		}
	}
	found.weight = found.crashes
	if answered := t.answers[p]; !answered.IsZero() && found.first.Sub(answered) <= answerLifetime {
		found.weight = max(found.crashes-soundAllowance, 0)
	}
	return found
}

// add adds a crash. Those at about the same time count once, or twice if a request without a prompt was at several of them: a request seldom is
// at endpoints that fail together by chance.
func (c *candidate) add(crash *Crash) {
	c.named = append(c.named, crash)
	c.latest = crash.At
	c.depth = max(c.depth, crash.depth(c.part))
	if c.crashes > 0 && crash.At.Sub(c.counted) < crashSpacing {
		c.together++
		if c.together == severalTogether && crash.hasWhole(c.part) {
			c.crashes++
		}
		return
	}
	c.together = 1
	if c.crashes == 0 {
		c.first = crash.At
	}
	c.crashes++
	c.counted = crash.At
}

// compareCounts compares two candidates by how many crashes they explain.
func (c *candidate) compareCounts(other *candidate) int {
	return cmp.Or(cmp.Compare(c.weight, other.weight), cmp.Compare(c.crashes, other.crashes))
}

// compare compares two candidates by how well they explain crashes. Of equals, the better one stands later in its request: requests share their
// first parts more often than the later ones.
func (c *candidate) compare(other *candidate) int {
	return cmp.Or(c.compareCounts(other), cmp.Compare(c.depth, other.depth), cmp.Compare(c.part, other.part))
}
