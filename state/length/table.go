package length

// Key names the group of generations whose lengths are alike.
type Key struct {
	Entry     string
	Class     string
	Workspace string
}

// Table keeps the histograms of groups and of the wider groups that stand in while a group has few observations.
type Table struct {
	groups map[Key]*Histogram
	all    *Histogram
	clock  uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{groups: make(map[Key]*Histogram), all: NewHistogram()}
}

// levels gives the groups of the key from the narrowest to the widest.
func levels(key Key) [3]Key {
	return [3]Key{key, {Entry: key.Entry, Class: key.Class}, {Class: key.Class}}
}

// Groups are the histograms of one generation, from the narrowest group to the widest.
type Groups [4]*Histogram

// Groups returns the histograms that a generation of the key counts in.
func (t *Table) Groups(key Key) Groups {
	g := Groups{3: t.all}
	for i, k := range levels(key) {
		g[i] = t.group(k)
	}
	return g
}

// Emitted records in each group that a generation has emitted more tokens than before; it starts from -1.
func (g *Groups) Emitted(before, now int) {
	for _, h := range g {
		h.Emitted(before, now)
	}
}

// Ended records in each group the end of a generation.
func (g *Groups) Ended(tokens int) {
	for _, h := range g {
		h.Ended(tokens)
	}
}

// Best returns the histogram of the narrowest group with enough ends.
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
	h.used = t.clock
	return h
}

func (t *Table) evict() {
	if len(t.groups) < maximumGroups {
		return
	}
	var oldest Key
	seen, least := 0, t.clock+1
	for k, h := range t.groups {
		if h.used < least {
			oldest, least = k, h.used
		}
		seen++
		if seen == evictionSample {
			break
		}
	}
	delete(t.groups, oldest)
}
