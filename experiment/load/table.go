package load

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Table writes the report for people.
func (r *Report) Table(w io.Writer) error {
	fmt.Fprintf(w, "profile %s, %g requests/s for %gs, seed %d, %d instances\n\n", r.Profile, r.Rate, r.Seconds, r.Seed, len(r.Targets))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "requests\tsent\twhole\tnotRun\tunknown\tinterrupted\tother\tlost\tdoubled\tcrossed\t")
	for i := range r.Mixes {
		m := &r.Mixes[i]
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\t%d\t\n", m.Name, m.Sent, outcomeCells(m.Outcomes), m.Text.Lost, m.Text.Doubled, m.Text.Crossed)
	}
	fmt.Fprintf(t, "all\t%d\t%s\t%d\t%d\t%d\t\n", r.Sent, outcomeCells(r.Outcomes), r.Text.Lost, r.Text.Doubled, r.Text.Crossed)
	fmt.Fprintln(t)
	fmt.Fprintln(t, "milliseconds\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\tstall mean\tp99\ttotal p50\tp99\t")
	for i := range r.Mixes {
		fmt.Fprintln(t, timeCells(&r.Mixes[i]))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.notes(w)
}

// notes writes what the table has no column for.
func (r *Report) notes(w io.Writer) error {
	fmt.Fprintf(w, "\nmost open at once %d, not sent %d, answers resumed by callers %d\n", r.MostOpen, r.Skipped, r.Resumes)
	if len(r.Reasons) > 0 {
		parts := make([]string, 0, len(r.Reasons))
		for _, c := range r.Reasons {
			parts = append(parts, fmt.Sprintf("%s %d", c.Name, c.Count))
		}
		fmt.Fprintf(w, "reasons: %s\n", strings.Join(parts, ", "))
	}
	for _, s := range r.Samples {
		fmt.Fprintf(w, "wrong: %s\n", s)
	}
	_, err := fmt.Fprintln(w)
	return err
}

func outcomeCells(counts []Count) string {
	named := map[Outcome]int{}
	other := 0
	for _, c := range counts {
		named[Outcome(c.Name)] = c.Count
		other += c.Count
	}
	cells := make([]string, 0, 5)
	for _, o := range []Outcome{OutcomeFinished, OutcomeNotRun, OutcomeUnknown, OutcomeInterrupted} {
		cells = append(cells, strconv.Itoa(named[o]))
		other -= named[o]
	}
	return strings.Join(append(cells, strconv.Itoa(other)), "\t")
}

func timeCells(m *MixReport) string {
	cells := []string{m.Name}
	for _, d := range []time.Duration{
		m.FirstToken.P50, m.FirstToken.P95, m.FirstToken.P99,
		m.BetweenTokens.P50, m.BetweenTokens.P95, m.BetweenTokens.P99,
		m.Stall.Mean, m.Stall.P99, m.Total.P50, m.Total.P99,
	} {
		cells = append(cells, fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)))
	}
	return strings.Join(cells, "\t") + "\t"
}
