package control

import (
	"fmt"
	"time"

	"dogwooddyke/state/catalogue"
)

// judgement is what the watches add up to.
type judgement struct {
	limit     time.Duration
	delays    []time.Duration // of each accepted change on each instance, from its append until in force
	late      []string        // changes that were not in force in time on a live instance
	reverted  []string        // catalogues that went back
	different []string        // catalogues that are not the fold of the log through their offset
	notReady  []string        // instances that lived on without becoming ready
	lived     int             // instances that became ready
	samples   int
	began     int // pairs of instance and change that the instance began with
}

// judge compares what each instance showed with what the log says that it had to show, and when.
func judge(nodes []*node, h *history, limit time.Duration) *judgement {
	j := &judgement{limit: limit}
	for _, n := range nodes {
		j.samples += len(n.watch.samples)
		for _, f := range n.watch.faults {
			j.reverted = add(j.reverted, n.name+": "+f)
		}
		j.compare(n, h)
		j.time(n, h)
	}
	return j
}

// compare checks every sample against the fold of the log at its offset.
func (j *judgement) compare(n *node, h *history) {
	for i := range n.watch.samples {
		s := &n.watch.samples[i]
		m, known := h.at(s.offset)
		switch {
		case !known:
			j.different = add(j.different, fmt.Sprintf("%s: offset %d is not in the log", n.name, s.offset))
		case m.digest != s.digest || m.revision != s.revision || m.revisions != s.revisions:
			j.different = add(j.different, fmt.Sprintf("%s: other catalogue at offset %d", n.name, s.offset))
		}
	}
}

// time measures when each accepted change came into force on the instance, for as long as it lived.
func (j *judgement) time(n *node, h *history) {
	ended := n.endedAt()
	ready := n.watch.readyAt
	if ready.IsZero() {
		if ended.IsZero() || ended.Sub(n.startedAt) > readyTimeout {
			j.notReady = add(j.notReady, n.name)
		}
		return
	}
	j.lived++
	for offset := uint64(1); offset <= h.head(); offset++ {
		m, _ := h.at(offset)
		if m.verdict.Outcome != catalogue.OutcomeAccepted || !ended.IsZero() && m.at.After(ended) {
			continue
		}
		forced, ok := n.watch.forcedAt(offset)
		switch {
		case ok && !forced.After(ready):
			// The instance began with the change in force.
			j.began++
		case ok:
			j.delays = append(j.delays, max(forced.Sub(m.at), 0))
			if forced.Sub(m.at) > j.limit {
				j.late = add(j.late, fmt.Sprintf("%s: offset %d after %s", n.name, offset, forced.Sub(m.at)))
			}
		case ended.IsZero() || ended.Sub(m.at) > j.limit:
			j.late = add(j.late, fmt.Sprintf("%s: offset %d never", n.name, offset))
		}
	}
}

// add keeps a bounded number of lines and the count of the rest.
func add(lines []string, line string) []string {
	if len(lines) >= maximumFaults {
		return lines
	}
	return append(lines, line)
}
