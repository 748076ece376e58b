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

// Observe records the length of a finished generation, in tokens, in each of its groups.
func (t *Table) Observe(key Key, tokens int) {
	t.all.Observe(tokens)
	for _, k := range levels(key) {
		t.group(k).Observe(tokens)
	}
}

// Find returns the histogram of the narrowest group with enough observations.
func (t *Table) Find(key Key) *Histogram {
	for _, k := range levels(key) {
		if h := t.groups[k]; h != nil && h.samples >= minimumSamples {
			return h
		}
	}
	return t.all
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
