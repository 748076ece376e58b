package suspicion

import (
	"slices"
	"time"

	"dogwooddyke/state/process"
	"dogwooddyke/state/prompt"
)

// Crash is the end of an endpoint's process while it had requests that it had not answered completely.
type Crash struct {
	Process process.ID
	At      time.Time
	Prompts [][]prompt.Part // parts of these requests
	Tried   []prompt.Part   // those on trial, whose trials have failed so
}

// IsFull reports whether a table keeps no more requests of the crash.
func (c *Crash) IsFull() bool { return len(c.Prompts) >= maximumPrompts }

// hasWhole reports whether a part stands for a request without a prompt.
func (c *Crash) hasWhole(p prompt.Part) bool {
	return slices.ContainsFunc(c.Prompts, func(parts []prompt.Part) bool { return len(parts) == 1 && parts[0] == p })
}

// depth returns the latest place of a part in one of the requests.
func (c *Crash) depth(p prompt.Part) int {
	depth := 0
	for _, parts := range c.Prompts {
		depth = max(depth, slices.Index(parts, p))
	}
	return depth
}

// Table holds crashes, and when endpoints last answered requests with a part. It does no I/O and is not safe for concurrent use; callers pass
// the current time.
//
// A part that crashes endpoints is in a request of each crash that it causes, and endpoints never answer on it. So a part on which an endpoint has
// answered since a crash has not caused that crash. On a part of a prompt the first output is an answer; on a request as a whole only the last.
type Table struct {
	crashes   []*Crash // by time
	byProcess map[process.ID]*Crash
	byPart    map[prompt.Part][]*Crash // those that name a part, by time
	several   map[prompt.Part]bool     // parts that several crashes name
	answers   map[prompt.Part]time.Time
	suspects  map[prompt.Part]Suspect // computed from the others; nil: to be computed
	expireAt  time.Time               // when old crashes are looked for again
	forgetAt  time.Time               // when old answers are looked for again if there are too many
}

// Suspect is a part that explains several crashes.
type Suspect struct {
	Crashes int       // that count against the part
	Latest  time.Time // of the crashes that the part explains

	Rivals []prompt.Part // of other requests, which explain the same crashes equally well
}

// NewTable returns a table without crashes.
func NewTable() *Table {
	return &Table{byProcess: make(map[process.ID]*Crash), byPart: make(map[prompt.Part][]*Crash), several: make(map[prompt.Part]bool), answers: make(map[prompt.Part]time.Time)}
}

// AddCrash adds what is known of a crash, and reports whether any of it is new.
func (t *Table) AddCrash(c Crash) bool {
	known := t.byProcess[c.Process]
	if known == nil {
		known = &Crash{Process: c.Process, At: c.At}
	}
	added := false
	for _, parts := range c.Prompts {
		listed := slices.ContainsFunc(known.Prompts, func(other []prompt.Part) bool { return slices.Equal(other, parts) })
		if listed || len(parts) == 0 || known.IsFull() && !t.makeRoom(known, parts) {
			continue
		}
		known.Prompts = append(known.Prompts, slices.Clone(parts))
		t.index(known, parts)
		added = true
	}
	for _, p := range c.Tried {
		if !slices.Contains(known.Tried, p) && slices.Contains(t.byPart[p], known) {
			known.Tried = append(known.Tried, p)
			added = true
		}
	}
	if added {
		t.insert(known)
		t.suspects = nil
	}
	return added
}

// makeRoom drops a request of a crash that no other crash names, if another one does name the new request. It reports whether there is room then.
func (t *Table) makeRoom(c *Crash, parts []prompt.Part) bool {
	if !slices.ContainsFunc(parts, func(p prompt.Part) bool { return len(t.byPart[p]) > 0 }) {
		return false
	}
	n := slices.IndexFunc(c.Prompts, func(listed []prompt.Part) bool { return !t.isNamedAgain(listed) })
	if n < 0 {
		return false
	}
	dropped := c.Prompts[n]
	c.Prompts = slices.Delete(c.Prompts, n, n+1)
	for _, p := range dropped {
		if !slices.ContainsFunc(c.Prompts, func(listed []prompt.Part) bool { return slices.Contains(listed, p) }) {
			t.unlist(p, c)
		}
	}
	return true
}

// isNamedAgain reports whether several crashes name a part of a request.
func (t *Table) isNamedAgain(parts []prompt.Part) bool {
	return slices.ContainsFunc(parts, func(p prompt.Part) bool { return t.several[p] })
}

// index lists a crash under the parts of one of its requests.
func (t *Table) index(c *Crash, parts []prompt.Part) {
	for _, p := range parts {
		if slices.Contains(t.byPart[p], c) {
			continue
		}
		t.byPart[p] = insertByTime(t.byPart[p], c)
		if len(t.byPart[p]) >= severalCrashes {
			t.several[p] = true
		}
	}
}

// unlist removes a crash from those that name a part.
func (t *Table) unlist(p prompt.Part, c *Crash) {
	t.byPart[p] = slices.DeleteFunc(t.byPart[p], func(other *Crash) bool { return other == c })
	if len(t.byPart[p]) < severalCrashes {
		delete(t.several, p)
	}
	if len(t.byPart[p]) == 0 {
		delete(t.byPart, p)
	}
}

// insert adds a crash unless the table has it already. If there are too many, the oldest is dropped that no suspect explains.
func (t *Table) insert(c *Crash) {
	if t.byProcess[c.Process] != nil {
		return
	}
	if len(t.crashes) >= maximumCrashes {
		n := max(slices.IndexFunc(t.crashes, func(c *Crash) bool { return !t.IsExplained(c) }), 0)
		t.forget(t.crashes[n])
		t.crashes = slices.Delete(t.crashes, n, n+1)
	}
	t.byProcess[c.Process] = c
	t.crashes = insertByTime(t.crashes, c)
}

// IsExplained reports whether a suspect may have caused a crash.
func (t *Table) IsExplained(c *Crash) bool {
	if t.suspects == nil {
		t.suspects = t.explain()
	}
	for p := range t.suspects {
		if slices.Contains(t.byPart[p], c) && t.MayHaveCaused(p, c) {
			return true
		}
	}
	return false
}

// insertByTime inserts a crash into a list that is ordered by time.
func insertByTime(crashes []*Crash, c *Crash) []*Crash {
	n, _ := slices.BinarySearchFunc(crashes, c, func(a, b *Crash) int { return a.At.Compare(b.At) })
	return slices.Insert(crashes, n, c)
}

// forget removes a crash from the indexes.
func (t *Table) forget(c *Crash) {
	delete(t.byProcess, c.Process)
	for _, p := range slices.Concat(c.Prompts...) {
		t.unlist(p, c)
	}
	t.suspects = nil
}

// Crash returns the crash of a process; nil if it is not known. It must not be changed.
func (t *Table) Crash(p process.ID) *Crash { return t.byProcess[p] }

// Crashes returns the crashes that parts of requests may have caused or that were cleared lately, the newest first; they must not be changed.
func (t *Table) Crashes(now time.Time) []*Crash {
	t.expire(now)
	crashes := slices.Clone(t.crashes)
	slices.Reverse(crashes)
	return crashes
}

// CrashesOf returns the crashes that name a part, the newest last; they must not be changed.
func (t *Table) CrashesOf(p prompt.Part) []*Crash { return t.byPart[p] }

// Blamed returns how many crashes a part may have caused, also if other parts explain them better.
func (t *Table) Blamed(p prompt.Part, now time.Time) int {
	t.expire(now)
	return t.count(p, t.byPart[p]).crashes
}

// Unanswered returns how many crashes a part may have caused, also if other parts explain them better and if they were at about the same time.
func (t *Table) Unanswered(p prompt.Part, now time.Time) int {
	t.expire(now)
	count := 0
	for _, c := range t.byPart[p] {
		if t.MayHaveCaused(p, c) {
			count++
		}
	}
	return count
}

// FailedTrials returns how many trials of a part ended with a crash that the part may have caused, and when the latest did.
func (t *Table) FailedTrials(p prompt.Part) (count int, latest time.Time) {
	for _, c := range t.byPart[p] {
		if slices.Contains(c.Tried, p) && t.MayHaveCaused(p, c) {
			count++
			latest = c.At
		}
	}
	return count, latest
}

// IsUnexplained reports whether a part may have caused a crash that no suspect explains other than itself.
func (t *Table) IsUnexplained(p prompt.Part, now time.Time) bool {
	suspects := t.Suspects(now)
	return slices.ContainsFunc(t.byPart[p], func(c *Crash) bool {
		if !t.MayHaveCaused(p, c) {
			return false
		}
		for _, other := range slices.Concat(c.Prompts...) {
			if _, suspected := suspects[other]; suspected && other != p && t.MayHaveCaused(other, c) {
				return false
			}
		}
		return true
	})
}

// Suspects returns the parts that explain several crashes; the map must not be changed.
func (t *Table) Suspects(now time.Time) map[prompt.Part]Suspect {
	t.expire(now)
	if t.suspects == nil {
		t.suspects = t.explain()
	}
	return t.suspects
}

// expire forgets old crashes, and those that have been cleared for a while.
func (t *Table) expire(now time.Time) {
	if now.Before(t.expireAt) {
		return
	}
	t.expireAt = now.Add(expiryInterval)
	t.crashes = slices.DeleteFunc(t.crashes, func(c *Crash) bool {
		age := now.Sub(c.At)
		expired := age > crashLifetime || age > clearedLifetime && t.IsCleared(c)
		if expired {
			t.forget(c)
		}
		return expired
	})
}

// Requests returns the parts of a crash's requests, of at most so many parts in all: those first that several crashes name.
func (t *Table) Requests(c *Crash, maximumParts int) [][]prompt.Part {
	listed := make([][]prompt.Part, 0, len(c.Prompts))
	left := maximumParts
	for _, again := range []bool{true, false} {
		for _, parts := range c.Prompts {
			if t.isNamedAgain(parts) == again && len(parts) <= left {
				listed = append(listed, parts)
				left -= len(parts)
			}
		}
	}
	return listed
}
