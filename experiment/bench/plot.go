package bench

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// measureOf is one measure to plot over the load.
type measureOf struct {
	file  string
	title string
	value func(r *Result) float64
}

func plotted() []measureOf {
	return []measureOf{
		{"stall", "stall per answer, ms", func(r *Result) float64 { return milliseconds(r.Stall) }},
		{"between", "99th percentile between tokens, ms", func(r *Result) float64 { return milliseconds(r.Between.P99) }},
		{"goodput", "goodput, tokens/s", func(r *Result) float64 { return r.Goodput }},
		{"preemptions", "preemptions", func(r *Result) float64 { return float64(r.Preemptions) }},
	}
}

// Plots writes an SVG for each deployment and measure, over the load of the runs without faults and bursts.
func Plots(directory string, suite *Suite, groups []Group) error {
	for _, name := range suite.Deployments {
		for _, m := range plotted() {
			if err := m.draw(filepath.Join(directory, "crowd-"+name+"-"+m.file+".svg"), name, suite, groups); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m *measureOf) draw(file, deployment string, suite *Suite, groups []Group) error {
	p := plot.New()
	p.Title.Text = deployment
	p.X.Label.Text = "load, % of capacity"
	p.Y.Label.Text = m.title
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for i, policy := range suite.Policies {
		points := plotter.XYs{}
		for n := range groups {
			s := groups[n].Scenario
			if s.Deployment == deployment && s.Fault == FaultNone && !s.Burst && s.Lag == usualLag {
				points = append(points, plotter.XY{X: 100 * s.Load, Y: m.value(&groups[n].Results[i])})
			}
		}
		lines = append(lines, policy, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, file)
}
