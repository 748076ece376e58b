package demo

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"dogwooddyke/experiment/check"
	"dogwooddyke/experiment/load"
)

// Report is what came of a run.
type Report struct {
	Seed          uint64        `json:"seed"`
	Started       time.Time     `json:"started"`
	Events        []string      `json:"events"`
	Traffic       []Traffic     `json:"traffic"`
	Audit         Audit         `json:"audit"`
	Baseline      []Traffic     `json:"baseline,omitempty"`
	BaselineAudit *Audit        `json:"baselineAudit,omitempty"`
	Checks        []check.Check `json:"checks"`
}

// Held tells whether every check held.
func (r *Report) Held() bool {
	return check.Held(r.Checks)
}

// Table writes the report for people.
func (r *Report) Table(w io.Writer) error {
	fmt.Fprintln(w, "what happened:")
	for _, e := range r.Events {
		fmt.Fprintln(w, "  "+e)
	}
	fmt.Fprintln(w)
	for _, t := range r.Traffic {
		if err := t.Report.Table(w); err != nil {
			return err
		}
	}
	fmt.Fprintf(w, "engines: %d preemptions; services: %d keys, %d run twice; refused without an id to look for: %d\n",
		r.Audit.Preemptions, r.Audit.Keys, r.Audit.DoubledRuns, r.Audit.UntracedNotRun)
	if len(r.Baseline) > 0 {
		if err := r.compare(w); err != nil {
			return err
		}
	}
	return r.verdicts(w)
}

// compare writes the fleet beside the naive proxy.
func (r *Report) compare(w io.Writer) error {
	fmt.Fprintln(w, "\nbeside a naive proxy with the same traffic and faults:")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "requests\taccepted\twhole\tshare\tproxy sent\twhole\tshare\t")
	for i := range r.Traffic {
		for m := range r.Traffic[i].Report.Mixes {
			own, base := &r.Traffic[i].Report.Mixes[m], &r.Baseline[i].Report.Mixes[m]
			fmt.Fprintf(t, "%s\t%s\t%s\t\n", own.Name, wholeCells(own), wholeCells(base))
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "run twice under one key: %d, naive proxy %d; wrong tokens: %d, naive proxy %d\n",
		r.Audit.DoubledRuns, r.BaselineAudit.DoubledRuns, wrongTokens(r.Traffic), wrongTokens(r.Baseline))
	return err
}

func wholeCells(m *load.MixReport) string {
	accepted, whole := m.Accepted(), m.Whole()
	share := 0.0
	if accepted > 0 {
		share = 100 * float64(whole) / float64(accepted)
	}
	return fmt.Sprintf("%d\t%d\t%.2f%%", accepted, whole, share)
}

func wrongTokens(traffic []Traffic) int {
	s := sum(traffic)
	return s.text.Lost + s.text.Doubled + s.text.Crossed
}

func (r *Report) verdicts(w io.Writer) error {
	fmt.Fprintln(w, "\nchecks:")
	return check.Write(w, r.Checks)
}

// Page writes the report as a page of results.
func (r *Report) Page(w io.Writer, command string) error {
	fmt.Fprintf(w, "# %s\n\nSeed %d, %s, %d processors.\n\n```\n", command, r.Seed, r.Started.Format(time.RFC3339), runtime.NumCPU())
	if err := r.Table(w); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, "```")
	return err
}
