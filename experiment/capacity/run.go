package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// Result is all that a run measured and worked out.
type Result struct {
	Command    string      `json:"command"`
	Seed       uint64      `json:"seed"`
	Started    time.Time   `json:"started"`
	Processors int         `json:"processors"`
	Slopes     Slopes      `json:"slopes"`
	Costs      []Cost      `json:"costs"`
	Sum        Cost        `json:"sum"`
	Platform   []Platform  `json:"platform"`
	Events     []DayEvents `json:"events"`
}

// Run measures all slopes afresh, with a line of progress for each.
func Run(ctx context.Context, command string, seed uint64, progress io.Writer) (*Result, error) {
	r := &Result{Command: command, Seed: seed, Started: time.Now().UTC(), Processors: runtime.NumCPU()}
	for _, p := range probes() {
		s, err := p.Measure(ctx, seed)
		if err != nil {
			return nil, err
		}
		r.Slopes = append(r.Slopes, s)
		fmt.Fprintf(progress, "%6.1fs  %-24s %s %s for each %s\n", time.Since(r.Started).Seconds(), s.Name, figure(s.PerItem), s.Unit, s.Item)
	}
	r.work()
	return r, nil
}

func probes() []Probe {
	var all []Probe
	for _, group := range [][]Probe{
		heartbeatProbes(), rosterProbes(), catalogueProbes(), spreadProbes(), shareProbes(), decisionProbes(), claimProbes(), trafficProbes(),
	} {
		all = append(all, group...)
	}
	return all
}

// work works the costs out from the slopes.
func (r *Result) work() {
	s := r.Slopes
	for _, role := range [][]Cost{
		s.entryInstance(), s.neighbour(), s.relay(), s.endpointSteward(), s.limitSteward(), s.keySteward(), s.leaseholder(),
	} {
		r.Costs = append(r.Costs, role...)
	}
	r.Sum = total(r.Costs)
	r.Platform = s.platform()
	r.Events = dayEvents()
}

// Read takes the slopes of an earlier run and works the costs out anew.
func Read(name string) (*Result, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	r.Costs = nil
	r.work()
	return r, nil
}

// Write rewrites the tables of CAPACITY.md in the directory, and results/capacity.json below it.
func (r *Result) Write(directory string) error {
	page, err := OpenPage(filepath.Join(directory, "CAPACITY.md"))
	if err != nil {
		return err
	}
	run := fmt.Sprintf("Measured by `%s`, seed %d, %s, %d processors.", r.Command, r.Seed, r.Started.Format(time.RFC3339), r.Processors)
	for _, t := range []struct{ name, text string }{
		{"run", run},
		{"slopes", r.Slopes.table()},
		{"roles", costTable(r.Costs)},
		{"budget", budgetTable(r.Sum)},
		{"serving", r.Slopes.dataTable()},
		{"platform", platformTable(r.Platform)},
		{"events", eventTable(r.Events)},
	} {
		if err := page.Replace(t.name, t.text); err != nil {
			return err
		}
	}
	if err := page.Write(); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, "results", "capacity.json"), append(data, '\n'), 0o644)
}
