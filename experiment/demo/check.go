package demo

import (
	"fmt"

	"dogwooddyke/experiment/check"
	"dogwooddyke/experiment/load"
)

// checks judges a run by what callers saw and what the endpoints know.
func (r *runner) checks(traffic []Traffic, a Audit) []check.Check {
	s := sum(traffic)
	list := []check.Check{
		none("no token lost, doubled or crossed in a finished answer", s.text.Lost+s.text.Doubled+s.text.Crossed),
		none("no action ran twice under its key", a.DoubledRuns),
		none("nothing ran that was told not to have run", a.FalseNotRun),
		none("no generation id was started twice by an engine", a.RestartedIDs),
		none("every call told to have run did run", a.FalseFinished),
		none("every repeat of a key got the same reply", a.UnlikeReplies),
		none("every refusal named its outcome", s.outcomes[load.OutcomeMalformed]),
		none("every request ended", s.outcomes[load.OutcomeUnfinished]),
		none("no engine that was leaving got new work", a.LateStarts),
		{Name: "traffic was sent by every mix", Held: s.sent, Seen: fmt.Sprintf("%d requests", s.total)},
	}
	list = append(list, r.whole(traffic)...)
	if !r.killed {
		list = append(list, none("no caller was cut off", s.outcomes[load.OutcomeCut]))
	}
	return append(list, r.planned()...)
}

// whole judges how many requests finished: of those accepted by repeatable entries, and of all.
func (r *runner) whole(traffic []Traffic) []check.Check {
	var accepted, finished, sent, all int
	for _, t := range traffic {
		for i := range t.Report.Mixes {
			m := &t.Report.Mixes[i]
			sent += m.Sent + m.Repeats
			all += m.Whole()
			if g, ok := r.fleet.endpoints.find(m.Entry); ok && g.service.Entry.Repeatable {
				accepted += m.Accepted()
				finished += m.Whole()
			}
		}
	}
	return []check.Check{
		least("answers of repeatable entries that finished whole", finished, accepted, r.options.Layout.LeastWhole),
		least("requests of all kinds that finished whole", all, sent, leastAny),
	}
}

func least(name string, count, of int, share float64) check.Check {
	return check.Check{
		Name: fmt.Sprintf("at least %g%% of %s", 100*share, name),
		Held: of > 0 && float64(count) >= share*float64(of),
		Seen: fmt.Sprintf("%d of %d", count, of),
	}
}

// planned judges the drains and the catalogue changes of the script.
func (r *runner) planned() []check.Check {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var list []check.Check
	for _, err := range r.faults {
		list = append(list, check.Check{Name: "every step of the script was carried out", Seen: err.Error()})
	}
	for _, err := range r.drains {
		seen := "all requests in progress finished"
		if err != nil {
			seen = err.Error()
		}
		list = append(list, check.Check{Name: "a drained instance finished its work", Held: err == nil, Seen: seen})
	}
	for _, after := range r.forced {
		list = append(list, check.Check{
			Name: fmt.Sprintf("a catalogue change was in force everywhere within %s", forceTimeout),
			Held: after <= forceTimeout, Seen: fmt.Sprintf("%.0f ms", after.Seconds()*1000),
		})
	}
	return list
}

func none(name string, count int) check.Check {
	return check.Check{Name: name, Held: count == 0, Seen: fmt.Sprintf("%d", count)}
}

// total sums up several load tools.
type total struct {
	total    int
	sent     bool // by every mix
	outcomes map[load.Outcome]int
	text     load.Verdict
	resumes  int
}

func sum(traffic []Traffic) total {
	t := total{sent: true, outcomes: make(map[load.Outcome]int)}
	for _, each := range traffic {
		t.total += each.Report.Sent
		t.resumes += each.Report.Resumes
		t.text.Add(each.Report.Text)
		for _, c := range each.Report.Outcomes {
			t.outcomes[load.Outcome(c.Name)] += c.Count
		}
		for i := range each.Report.Mixes {
			t.sent = t.sent && each.Report.Mixes[i].Sent > 0
		}
	}
	return t
}
