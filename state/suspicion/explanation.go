package suspicion

import (
	"cmp"
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
}

// explain chooses parts that explain several crashes, each time the one that explains most of the crashes that are left. Sound parts of the same
// prompts are named by the same crashes, so a part counts only for crashes that no part before it explains.
func (t *Table) explain() map[prompt.Part]Suspect {
	suspects := make(map[prompt.Part]Suspect)
	explained := make(map[*Crash]bool)
	for {
		best := t.bestExplanation(explained)
		if best == nil {
			return suspects
		}
		if best.weight > 0 {
			suspects[best.part] = Suspect{Crashes: best.weight, Latest: best.latest}
		}
		for _, c := range t.byPart[best.part] {
			if t.MayHaveCaused(best.part, c) {
				explained[c] = true
			}
		}
	}
}

// bestExplanation returns the part that explains most of the crashes that are not explained yet, nil if none explains several.
func (t *Table) bestExplanation(explained map[*Crash]bool) *candidate {
	var best *candidate
	for p, crashes := range t.byPart {
		if len(crashes) < severalCrashes {
			continue
		}
		left := make([]*Crash, 0, len(crashes))
		for _, c := range crashes {
			if !explained[c] {
				left = append(left, c)
			}
		}
		found := t.count(p, left)
		if found.crashes >= severalCrashes && (best == nil || found.compare(best) > 0) {
			best = &found
		}
	}
	return best
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

// add adds a crash. Those at about the same time count once.
func (c *candidate) add(crash *Crash) {
	c.latest = crash.At
	c.depth = max(c.depth, crash.depth(c.part))
	if c.crashes > 0 && crash.At.Sub(c.counted) < crashSpacing {
		return
	}
	if c.crashes == 0 {
		c.first = crash.At
	}
	c.crashes++
	c.counted = crash.At
}

// compare compares two candidates by how well they explain crashes. Of equals, the better one stands later in its prompt: prompts share their
// first parts more often than the later ones.
func (c *candidate) compare(other *candidate) int {
	return cmp.Or(cmp.Compare(c.weight, other.weight), cmp.Compare(c.crashes, other.crashes), cmp.Compare(c.depth, other.depth), cmp.Compare(c.part, other.part))
}
