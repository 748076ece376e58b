package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/internal/wait"
)

// How a run goes:
//
//	plan.go    draws the faults from the seed
//	site.go    starts stand-ins, links and processes; fault.go breaks them
//	caller.go  sends requests all the while and checks each answer
//	planned.go draws planned work only instead; load.go sends as such a deployment's callers do, loss.go judges what is lost then
//	ledger.go  judges each request by what its caller saw, how often it ran, and which faults there were

// Report is what a run showed.
type Report struct {
	Seed    uint64
	Faults  map[kind]int
	Counts  map[string]map[outcome]int
	Streams string         // how resumable streams went
	Others  map[string]int // of a run with planned work only: refusals, failures and cuts that are excused
	Broken  []string       // promises that did not hold
}

// Run carries out one run; an error means that it could not be carried out.
func Run(ctx context.Context, o *Options) (*Report, error) {
	s, err := newSite(o)
	defer s.close()
	if err != nil {
		return nil, err
	}
	if err := s.ready(); err != nil {
		return nil, err
	}
	over := make(chan struct{})
	var background conc.WaitGroup
	background.Go(func() { s.beat(over) })
	background.Go(func() { s.keepCopies(over) })
	if o.Planned != nil {
		background.Go(func() { s.watch(over) })
	}
	s.traffic(ctx)
	s.heal()
	report := &Report{Seed: o.Seed, Faults: make(map[kind]int)}
	if err := s.ready(); err != nil {
		report.Broken = append(report.Broken, "not back: "+err.Error())
	} else {
		s.settle()
	}
	close(over)
	background.Wait()
	report.Broken = append(report.Broken, s.ledger.judge(o.Instances, s.engines)...)
	report.Broken = append(report.Broken, s.ledger.judgeLimits(o.Instances)...)
	report.Broken = append(report.Broken, s.ledger.judgeCrashes(o.Instances)...)
	report.Broken = append(report.Broken, s.ledger.judgeEvacuations(append(s.fleet, s.gone...), o.Instances)...)
	report.Broken = append(report.Broken, s.ledger.judgeStatements(append(s.fleet, s.gone...), o.Instances)...)
	mixed, summary := s.ledger.judgeVersions()
	report.Broken, report.Streams = append(report.Broken, mixed...), summary
	if s.ledger.planned {
		lost, others := s.ledger.judgeLosses(&losses{instances: o.Instances, grace: o.grace(), patience: longPatience, worked: s.engines.Worked})
		report.Broken, report.Others = append(report.Broken, lost...), others
	}
	report.Counts = s.ledger.counts()
	for _, t := range s.ledger.troubles {
		report.Faults[t.step.kind]++
	}
	return report, ctx.Err()
}

// traffic has callers send while the planned faults happen.
func (s *site) traffic(ctx context.Context) {
	span := time.Duration(s.options.Seconds * float64(time.Second))
	started := time.Now()
	ctx, cancel := context.WithDeadline(ctx, started.Add(span))
	defer cancel()
	var callers conc.WaitGroup
	for n := range s.options.Callers {
		if s.options.Planned != nil {
			c := newArriving(n, s.options, s.nodes, s.ledger)
			callers.Go(func() { c.arrive(ctx) })
			continue
		}
		c := newCaller(n, s.options.Seed, s.nodes, s.ledger)
		c.crashes, c.takesUp = &s.crashes, !s.options.Without.Versions
		callers.Go(func() { c.run(ctx) })
	}
	for _, p := range s.options.steps(span) {
		if wait.For(ctx, time.Until(started.Add(p.at))) != nil {
			break
		}
		s.carry(ctx, p)
	}
	callers.Wait()
}

// settle sends one request of each kind to each instance once all is well; each must be served.
func (s *site) settle() {
	time.Sleep(quietTail)
	c := newCaller(s.options.Callers, s.options.Seed, s.nodes, &ledger{})
	for n := range s.nodes {
		for _, route := range []string{routeRead, routeWrite, routeShort, routeLong} {
			d := c.demand(n, route)
			if s.options.Planned != nil {
				d.events = min(d.events, shortEvents) // events take longer there, and hold more
				d.tokens = d.events * eventTokens
			}
			c.call(d)
		}
	}
	for _, r := range c.ledger.records {
		if r.outcome != outcomeServed {
			r.outcome, r.why = outcomeWrong, "not served after all faults: "+string(r.outcome)+" "+r.why
		}
		s.ledger.record(r)
	}
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "seed %d; faults %v\n", r.Seed, r.Faults); err != nil {
		return err
	}
	for _, route := range slices.Sorted(maps.Keys(r.Counts)) {
		if _, err := fmt.Fprintf(w, "  %-6s %v\n", route, r.Counts[route]); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "  %s\n", r.Streams); err != nil {
		return err
	}
	for _, other := range slices.Sorted(maps.Keys(r.Others)) {
		if _, err := fmt.Fprintf(w, "  %4d %s\n", r.Others[other], other); err != nil {
			return err
		}
	}
	for _, b := range r.Broken[:min(len(r.Broken), maximumShown)] {
		if _, err := fmt.Fprintln(w, "  BROKEN", b); err != nil {
			return err
		}
	}
	return nil
}
