package control

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"dogwooddyke/experiment/check"
	"dogwooddyke/state/catalogue"
)

// Count is how many changes had one outcome.
type Count struct {
	Wish    string `json:"wish"`
	Outcome string `json:"outcome"`
	Count   int    `json:"count"`
}

// Delays sums up the times from a change's append until an instance works by it.
type Delays struct {
	Count  int           `json:"count"`
	Median time.Duration `json:"median"`
	P99    time.Duration `json:"p99"`
	Most   time.Duration `json:"most"`
}

// Report is what came of a run.
type Report struct {
	Instances int           `json:"instances"`
	Changes   float64       `json:"changes"` // changes/s
	Seconds   float64       `json:"seconds"`
	Seed      uint64        `json:"seed"`
	Outage    time.Duration `json:"outage"`
	Retention time.Duration `json:"retention"`
	Started   time.Time     `json:"started"`
	Events    []string      `json:"events"`
	Outcomes  []Count       `json:"outcomes"`
	Records   uint64        `json:"records"`
	Lived     int           `json:"lived"` // instances that became ready
	Samples   int           `json:"samples"`
	Delays    Delays        `json:"delays"`
	Checks    []check.Check `json:"checks"`
}

// Held tells whether every check held.
func (r *Report) Held() bool {
	return check.Held(r.Checks)
}

// report judges the run; live are the instances that lived to its end.
func (r *run) report(live []*node, settled error) *Report {
	j := judge(r.fleet.all(), r.history, r.options.Limit)
	o := r.options
	return &Report{
		Instances: o.Instances, Changes: o.Changes, Seconds: o.Seconds, Seed: o.Seed, Outage: o.Outage,
		Retention: o.Retention, Started: r.started.UTC(), Events: r.events, Outcomes: r.outcomes(),
		Records: r.history.head(), Lived: j.lived, Samples: j.samples, Delays: sumUp(j.delays),
		Checks: r.checks(j, live, settled),
	}
}

func sumUp(delays []time.Duration) Delays {
	if len(delays) == 0 {
		return Delays{}
	}
	slices.Sort(delays)
	last := len(delays) - 1
	return Delays{Count: len(delays), Median: delays[last/2], P99: delays[last*99/100], Most: delays[last]}
}

// outcomes counts what the log made of what the operators sent; the first verdict on an id counts.
func (r *run) outcomes() []Count {
	verdicts := r.history.verdicts()
	counts := make(map[[2]string]int)
	for _, s := range r.sessions {
		for i := range s.sent {
			outcome := "notInLog"
			if v, ok := verdicts[s.sent[i].change.ID]; ok {
				outcome = string(v.Outcome)
			}
			counts[[2]string{string(s.sent[i].wish), outcome}]++
		}
	}
	var all []Count
	for key, count := range counts {
		all = append(all, Count{key[0], key[1], count})
	}
	slices.SortFunc(all, func(a, b Count) int {
		return slices.Compare([]string{a.Wish, a.Outcome}, []string{b.Wish, b.Outcome})
	})
	return all
}

// verdicts returns the first verdict on each change id.
func (h *history) verdicts() map[string]catalogue.Verdict {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	first := make(map[string]catalogue.Verdict, len(h.moments))
	for i := range h.moments {
		v := h.moments[i].verdict
		if _, known := first[v.Change]; !known {
			first[v.Change] = v
		}
	}
	return first
}

// Table writes the report for people.
func (r *Report) Table(w io.Writer) error {
	fmt.Fprintf(w, "%d instances, %g changes/s for %g s, %d records in the log, %d instances lived in all\n\nwhat happened:\n",
		r.Instances, r.Changes, r.Seconds, r.Records, r.Lived)
	for _, e := range r.Events {
		fmt.Fprintln(w, "  "+e)
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "published\toutcome\tcount")
	for _, c := range r.Outcomes {
		fmt.Fprintf(t, "%s\t%s\t%d\n", c.Wish, c.Outcome, c.Count)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	d := r.Delays
	fmt.Fprintf(w, "\nfrom append until in force on an instance: p50 %.0f ms, p99 %.0f ms, most %.0f ms (%d changes on instances, %d samples)\n\nchecks:\n",
		milliseconds(d.Median), milliseconds(d.P99), milliseconds(d.Most), d.Count, r.Samples)
	return check.Write(w, r.Checks)
}

func milliseconds(span time.Duration) float64 { return span.Seconds() * 1000 }

// Page writes the report as a page of results.
func (r *Report) Page(w io.Writer, command string) error {
	fmt.Fprintf(w, "# %s\n\nSeed %d, %s, %d processors.\n\n```\n", command, r.Seed, r.Started.Format(time.RFC3339), runtime.NumCPU())
	if err := r.Table(w); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, "```")
	return err
}
