package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"dogwooddyke/experiment/capacity"
)

// CostReport is what control cost at each size.
type CostReport struct {
	Rate        float64       `json:"rate"`
	Changes     float64       `json:"changes"`
	Window      time.Duration `json:"window"`
	Seed        uint64        `json:"seed"`
	Started     time.Time     `json:"started"`
	ByInstances []*Case       `json:"byInstances"`
	ByEndpoints []*Case       `json:"byEndpoints"`
}

// slope fits the cost over the cases, once for each window for the spread, and once for the means over all windows; size
// tells what is counted and value what it costs.
func slope(cases []*Case, name string, size func(*Case) int, value func(*Cost) float64) (windows, means *capacity.Slope, err error) {
	p := &capacity.Probe{Name: name, Source: "instance"}
	for _, c := range cases {
		p.Sizes = append(p.Sizes, size(c))
	}
	of := func(cost func(*Case, uint64) float64) (*capacity.Slope, error) {
		p.Cost = func(_ context.Context, at int, window uint64) (float64, error) {
			for _, c := range cases {
				if size(c) == at {
					return cost(c, window), nil
				}
			}
			return 0, fmt.Errorf("%d was not measured", at)
		}
		return p.Measure(context.Background(), 0)
	}
	windows, err = of(func(c *Case, window uint64) float64 { return value(c.Windows[window]) })
	if err != nil {
		return nil, nil, err
	}
	means, err = of(func(c *Case, _ uint64) float64 { return c.mean(value) })
	return windows, means, err
}

func byInstances(c *Case) int { return c.Instances }

func byEndpoints(c *Case) int { return c.Endpoints }

// kinds lists all kinds of traffic, the costliest of the last case first.
func (r *CostReport) kinds() []string {
	total := make(map[string]float64)
	for _, c := range slices.Concat(r.ByInstances, r.ByEndpoints) {
		for _, w := range c.Windows {
			for kind, bytes := range w.Bytes {
				total[kind] += bytes
			}
		}
	}
	maps.DeleteFunc(total, func(_ string, bytes float64) bool { return bytes == 0 })
	return slices.SortedFunc(maps.Keys(total), func(a, b string) int {
		if total[a] != total[b] {
			return int(total[b] - total[a])
		}
		return strings.Compare(a, b)
	})
}

// row is one line of a table: a name, its value in a window, and its format.
type row struct {
	name   string
	value  func(*Cost) float64
	format string
}

func (r *CostReport) rows() []row {
	var rows []row
	for _, kind := range r.kinds() {
		rows = append(rows, row{kind + ", B/s", func(c *Cost) float64 { return c.Bytes[kind] }, "%.0f"})
	}
	rows = append(rows,
		row{"all kinds, B/s", func(c *Cost) float64 { return c.Sum }, "%.0f"},
		row{"most of one instance, B/s", func(c *Cost) float64 { return c.Most }, "%.0f"},
		row{"processor, % of a core", func(c *Cost) float64 { return 100 * c.Processor }, "%.2f"},
		row{"heap and stacks, MB", func(c *Cost) float64 { return c.Memory / 1e6 }, "%.1f"},
	)
	for _, kind := range r.kinds() {
		if kind != kindFrames {
			rows = append(rows, row{kind + ", calls/s", func(c *Cost) float64 { return c.Calls[kind] }, "%.2f"})
		}
	}
	return rows
}

// table writes the costs over the cases with the slopes, and what the line says of the size to design for.
func (r *CostReport) table(w io.Writer, cases []*Case, unit string, size func(*Case) int, design int) error {
	if len(cases) < 2 {
		return nil
	}
	fmt.Fprintf(w, "\n| each instance |")
	for _, c := range cases {
		fmt.Fprintf(w, " %d instances, %d endpoints |", c.Instances, c.Endpoints)
	}
	fmt.Fprintf(w, " for each %s (spread) | line at %d |\n|---|%s\n", unit, design, strings.Repeat("---|", len(cases)+2))
	for _, line := range r.rows() {
		windows, means, err := slope(cases, line.name, size, line.value)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "| %s |", line.name)
		for _, c := range cases {
			fmt.Fprintf(w, " "+line.format+" |", c.mean(line.value))
		}
		fmt.Fprintf(w, " %.4g (%.4g to %.4g) | "+line.format+" |\n", means.PerItem, windows.Least, windows.Most, means.Base+means.PerItem*float64(design))
	}
	return nil
}

// mean returns the mean over the windows, as some kinds come in bursts that are further apart than a window is long.
func (c *Case) mean(value func(*Cost) float64) float64 {
	sum := 0.0
	for _, w := range c.Windows {
		sum += value(w)
	}
	return sum / float64(len(c.Windows))
}

// command returns the command line that measures the same.
func (r *CostReport) command() string {
	var sizes, entries []string
	for _, c := range r.ByInstances {
		sizes = append(sizes, strconv.Itoa(c.Instances))
	}
	for _, c := range r.ByEndpoints {
		entries = append(entries, strconv.Itoa(c.Entries))
	}
	return fmt.Sprintf("dykectl cost --site FILE --sizes %s --entries %s --rate %g --changes %g --window %s --seed %d",
		strings.Join(sizes, ","), strings.Join(entries, ","), r.Rate, r.Changes, r.Window, r.Seed)
}

// ReadCostReport reads what was written as JSON.
func ReadCostReport(name string) (*CostReport, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	r := &CostReport{}
	return r, json.Unmarshal(data, r)
}

// Page writes the report as a page of results.
func (r *CostReport) Page(w io.Writer) error {
	fmt.Fprintf(w, "# %s\n\nSeed %d, %s, %d processors. %g requests/s of callers to each instance, %g catalogue changes/s. ",
		r.command(), r.Seed, r.Started.Format(time.RFC3339), runtime.NumCPU(), r.Rate, r.Changes)
	fmt.Fprintf(w, "Means over all instances and over %d windows of %s; slopes of these means, with the least and the most slope of one window. Bytes in and out on the connections, a call between instances counts at both ends. ", windowCount, r.Window)
	fmt.Fprintln(w, "The stand-ins run in another process, so that the processor time is that of the instances (and of callers, where there are any).")
	if err := r.table(w, r.ByInstances, "instance", byInstances, designInstances); err != nil {
		return err
	}
	return r.table(w, r.ByEndpoints, "endpoint in use", byEndpoints, designEndpoints)
}
