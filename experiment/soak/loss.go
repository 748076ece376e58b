package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dogwooddyke/platform/standin"
)

// excuse says why a request without a whole answer does not count as lost.
type excuse string

const (
	excuseNone     excuse = ""
	excuseUnsent   excuse = "not sent whole"
	excuseCrossed  excuse = "never sent on, connection closed at once"
	excuseEngine   excuse = "its endpoint broke off"
	excuseDeadline excuse = "its deadline passed"
	excuseGrace    excuse = "its endpoint was at work until the end of the grace period"
)

// promises are the statuses of class 4 that an instance may answer a proper request with.
var promises = []string{"408", "421", "429"}

// losses judges the requests of a run with planned work only.
type losses struct {
	instances int
	grace     time.Duration
	patience  time.Duration // deadline of each request
	stops     []trouble
	others    []trouble // reloads and new catalogues
	worked    func(id string) []standin.Work
}

// judgeLosses lists the requests that were lost, and counts the excuses of the others and the answers of the instances' own.
func (l *ledger) judgeLosses(j *losses) (lost []string, counts map[string]int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts = make(map[string]int)
	for _, t := range l.troubles {
		switch t.step.kind {
		case kindStop:
			j.stops = append(j.stops, t)
		case kindReload, kindCatalogue:
			j.others = append(j.others, t)
		}
	}
	for _, r := range l.records {
		switch r.outcome {
		case outcomeUnknown, outcomeRefused:
			counts[r.why]++
			if strings.HasPrefix(r.why, "4") && !slices.Contains(promises, r.why[:3]) {
				lost = append(lost, "denied: "+j.describe(&r))
			}
		case outcomeBroken:
			if e := j.excuse(&r); e != excuseNone {
				counts["cut: "+string(e)]++
				continue
			}
			lost = append(lost, "lost: "+j.describe(&r))
		}
	}
	return lost, counts
}

// excuse names why a request that ended without a whole answer is not lost.
func (j *losses) excuse(r *record) excuse {
	works := j.worked(r.id)
	switch {
	case r.whole.IsZero():
		return excuseUnsent
	case len(works) == 0 && !r.ended.After(r.whole.Add(lossSlack)):
		return excuseCrossed
	case len(works) > 0 && works[len(works)-1].End == standin.WorkBroke:
		return excuseEngine
	case !r.ended.Before(r.began.Add(j.patience)):
		return excuseDeadline
	}
	if t := j.stopOf(r); t != nil && j.isLate(r, t, works) {
		return excuseGrace
	}
	return excuseNone
}

// cutAt returns when a request without a whole answer was cut: a slow caller sees that later than the endpoint, whose connection ends with it.
func (j *losses) cutAt(r *record) time.Time {
	works := j.worked(r.id)
	if r.slow && len(works) > 0 && works[len(works)-1].End == standin.WorkLeft && !works[len(works)-1].Until.IsZero() {
		return works[len(works)-1].Until
	}
	return r.ended
}

// stopOf returns the stop of the request's instance around its end; nil if there was none.
func (j *losses) stopOf(r *record) *trouble {
	cut := j.cutAt(r)
	for n := range j.stops {
		t := &j.stops[n]
		if t.step.target%j.instances == r.instance && cut.After(t.began) && cut.Before(t.began.Add(j.grace+afterGrace)) {
			return t
		}
	}
	return nil
}

// isLate reports whether a request that was sent early in the grace period, or before, was still worked on in its last part.
func (j *losses) isLate(r *record, t *trouble, works []standin.Work) bool {
	from, until := t.began.Add(j.grace-j.grace/graceParts), t.began.Add(j.grace)
	sentBy := t.began.Add(min(sentLimit, j.grace*3/8)) // a shorter grace period has a shorter limit
	return !r.whole.After(sentBy) && slices.ContainsFunc(works, func(w standin.Work) bool {
		return w.From.Before(until) && (w.Until.IsZero() || w.Until.After(from))
	})
}

// describe returns a lost request's times, in seconds from the stop of its instance, or from its own begin if there was none.
func (j *losses) describe(r *record) string {
	origin, around, cut := r.began, "in calm, begun at "+r.began.Format("05.000"), j.cutAt(r)
	for _, t := range j.others {
		own := t.step.kind == kindCatalogue || t.step.target%j.instances == r.instance
		if own && cut.After(t.began) && cut.Before(t.began.Add(changeTime)) {
			around = "at a " + string(t.step.kind)
		}
	}
	if t := j.stopOf(r); t != nil {
		origin, around = t.began, "at a stop, SIGTERM at "+t.began.Format("05.000")
	}
	since := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%+.3f", t.Sub(origin).Seconds())
	}
	var worked []string
	for _, w := range j.worked(r.id) {
		worked = append(worked, fmt.Sprintf("%s %s to %s (%s)", w.Engine, since(w.From), since(w.Until), w.End))
	}
	return fmt.Sprintf("%s of %s at instance %d, %s: began %s, sent whole %s, ended %s; %s; worked on by [%s]", r.id, r.route, r.instance, around,
		since(r.began), since(r.whole), since(r.ended), r.why, strings.Join(worked, ", "))
}
