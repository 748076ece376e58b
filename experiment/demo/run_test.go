package demo

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/experiment/load"
	"dogwooddyke/standin"
)

// failing returns the names of the checks that did not hold.
func failing(r *Report) []string {
	var names []string
	for _, c := range r.Checks {
		if !c.Held {
			names = append(names, c.Name)
		}
	}
	return names
}

func TestChecks(t *testing.T) {
	finished := func(text load.Verdict) []Traffic {
		return []Traffic{{Report: &load.Report{
			Sent: 1, Text: text,
			Outcomes: []load.Count{{Name: string(load.OutcomeFinished), Count: 1}},
			Mixes: []load.MixReport{{
				Name: "m", Entry: "model", Sent: 1,
				Outcomes: []load.Count{{Name: string(load.OutcomeFinished), Count: 1}},
			}},
		}}}
	}
	r := &runner{options: &Options{Layout: Layout{LeastWhole: 0.9}}, fleet: &fleet{endpoints: testEndpoints(t)}}
	t.Run("held", func(t *testing.T) {
		is := is.New(t)
		is.Equal(failing(&Report{Checks: r.checks(finished(load.Verdict{Tokens: 1}), Audit{})}), nil)
	})
	t.Run("wrongToken", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(failing(&Report{Checks: r.checks(finished(load.Verdict{Crossed: 1}), Audit{})})), 1)
	})
	t.Run("everyAudit", func(t *testing.T) {
		is := is.New(t)
		a := Audit{DoubledRuns: 1, FalseNotRun: 1, RestartedIDs: 1, FalseFinished: 1, UnlikeReplies: 1, LateStarts: 1}
		is.Equal(len(failing(&Report{Checks: r.checks(finished(load.Verdict{}), a)})), 6)
	})
	t.Run("nothingWhole", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(failing(&Report{Checks: r.checks([]Traffic{{Report: &load.Report{}}}, Audit{})})), 2)
	})
}

// TestRun has one engine die and come back under light traffic.
func TestRun(t *testing.T) {
	is := is.New(t)
	o := &Options{
		Layout: Small(), Profiles: []string{"islaget"}, Rate: 20, Seconds: 2, Seed: 5, Logger: slog.New(slog.DiscardHandler),
		Script: []Step{
			fault(500*time.Millisecond, "isportal", 0, standin.Fault{Kind: standin.FaultSilence}),
			changeCatalogue(time.Second),
		},
	}
	for i := range o.Layout.Services {
		o.Layout.Services[i].Capacity = 100_000
	}
	report, err := Run(t.Context(), o)
	is.NoErr(err)
	is.Equal(failing(report), nil)
	is.Equal(len(report.Events), 2)
}
