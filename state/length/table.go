package length

// Key identifies a group of generations with similar lengths; an empty field stands for all values.
type Key struct {
	Entry     string
	Class     string
	Workspace string
}

// Table holds a histogram for each group, and for the wider groups that are used while a group has few observations.
type Table struct {
	groups map[Key]*Histogram
	all    *Histogram // all generations
	clock  uint64     // number of uses so far; the logical time by which the least recently used group is found
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{groups: make(map[Key]*Histogram), all: NewHistogram()}
}

// levels returns the groups that the key belongs to, from the narrowest to the widest.
func levels(key Key) [3]Key {
	return [3]Key{key, {Entry: key.Entry, Class: key.Class}, {Class: key.Class}}
}

// Groups are the histograms that one generation counts in, from the narrowest group to the widest.
type Groups [4]*Histogram

// Groups returns the histograms that a generation with the key counts in.
func (t *Table) Groups(key Key) Groups {
	g := Groups{3: t.all}
	for i, k := range levels(key) {
		g[i] = t.group(k)
	}
	return g
}

// Emitted records in each group that the number of tokens that a generation has emitted grew from before to now; before is -1 at the
// first call.
func (g *Groups) Emitted(before, now int) {
	for _, h := range g {
		h.Emitted(before, now)
	}
}

// Ended records in each group that a generation ended with the number of tokens.
func (g *Groups) Ended(tokens int) {
	for _, h := range g {
		h.Ended(tokens)
	}
}

// Best returns the histogram of the narrowest group with enough ends recorded, or else that of the widest group.
func (g *Groups) Best() *Histogram {
	for _, h := range g {
		if h.samples >= minimumSamples {
			return h
		}
	}
	return g[len(g)-1]
}

func (t *Table) group(key Key) *Histogram {
	t.clock++
	h := t.groups[key]
	if h == nil {
		t.evict()
		h = NewHistogram()
		t.groups[key] = h
	}
	h.lastUsed = t.clock
	return h
}

// evict makes room for a group by removing the least recently used group of a sample.
func (t *Table) evict() {
	if len(t.groups) < maximumGroups {
		return
	}
	var oldest Key
	sampled, oldestUse := 0, t.clock+1
	for k, h := range t.groups {
		if h.lastUsed < oldestUse {
			oldest, oldestUse = k, h.lastUsed
		}
		sampled++
		if sampled == evictionSample {
			break
		}
	}
	delete(t.groups, oldest)
}
