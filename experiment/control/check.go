package control

import (
	"fmt"
	"strings"

	"dogwooddyke/experiment/check"
	"dogwooddyke/state/catalogue"
)

// checks judges a run; live are the instances that lived to its end.
func (r *run) checks(j *judgement, live []*node, settled error) []check.Check {
	list := []check.Check{
		{Name: "all live instances ended on the log's revision and digest", Held: settled == nil && r.alike(live), Seen: r.ending(live)},
		none(fmt.Sprintf("each accepted change in force on every live instance within %s", r.options.Limit), j.late),
		none("no catalogue, entry or workspace went back", j.reverted),
		none("each instance showed the log's fold at each offset", j.different),
		none("each instance became ready", j.notReady),
		none("each step was carried out", lines(r.faults)),
		none("each drain came to its end", lines(r.drains)),
		{Name: "delays were measured", Held: len(j.delays) > 0, Seen: fmt.Sprint(len(j.delays))},
	}
	return append(list, r.published()...)
}

// published judges what became of what the operators sent.
func (r *run) published() []check.Check {
	var failed, absent, wrong, accepted, refused int
	verdicts := r.history.verdicts()
	for _, s := range r.sessions {
		failed += s.failed
		for i := range s.sent {
			v, known := verdicts[s.sent[i].change.ID]
			switch {
			case !known:
				absent++
			case v.Outcome == catalogue.OutcomeAccepted:
				accepted++
			case v.Outcome == catalogue.OutcomeConflict:
				refused++
			default:
				wrong++
			}
		}
	}
	return []check.Check{
		{Name: "every change was published", Held: failed == 0, Seen: fmt.Sprintf("%d given up", failed)},
		{Name: "every published change is in the log", Held: absent == 0, Seen: fmt.Sprintf("%d absent", absent)},
		{Name: "every change was accepted or conflicted", Held: wrong == 0, Seen: fmt.Sprintf("%d otherwise", wrong)},
		{Name: "some were accepted, and some conflicted", Held: accepted > 0 && refused > 0, Seen: fmt.Sprintf("%d and %d", accepted, refused)},
		r.once(),
	}
}

// once checks that no change id was accepted twice.
func (r *run) once() check.Check {
	r.history.mutex.Lock()
	defer r.history.mutex.Unlock()
	counts := make(map[string]int)
	twice, repeated := 0, 0
	for i := range r.history.moments {
		v := &r.history.moments[i].verdict
		switch v.Outcome {
		case catalogue.OutcomeAccepted:
			counts[v.Change]++
			if counts[v.Change] > 1 {
				twice++
			}
		case catalogue.OutcomeRepeated:
			repeated++
		}
	}
	return check.Check{Name: "no change took effect twice", Held: twice == 0, Seen: fmt.Sprintf("%d twice; %d repeats without effect", twice, repeated)}
}

func (r *run) alike(live []*node) bool {
	last, known := r.history.at(r.history.head())
	for _, n := range live {
		view := n.Instance.View()
		if !known || view.Revision != last.revision || view.Digest != last.digest {
			return false
		}
	}
	return known && len(live) > 0
}

func (r *run) ending(live []*node) string {
	last, known := r.history.at(r.history.head())
	if !known {
		return "no record"
	}
	return fmt.Sprintf("%d instances, revision %d, digest %s", len(live), last.revision, last.digest)
}

func none(name string, seen []string) check.Check {
	if len(seen) == 0 {
		return check.Check{Name: name, Held: true, Seen: "0"}
	}
	return check.Check{Name: name, Seen: strings.Join(seen, "; ")}
}

func lines(faults []error) []string {
	var all []string
	for _, err := range faults {
		if err != nil {
			all = append(all, err.Error())
		}
	}
	return all
}
