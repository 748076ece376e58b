package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// Suite says which runs to make.
type Suite struct {
	Deployments []string
	Policies    []string
	Scenarios   []Scenario // Deployment, Span and Seed are filled in
	Span        time.Duration
	Seeds       []uint64
	Workers     int
}

// Group is one scenario under all policies.
type Group struct {
	Scenario Scenario
	Capacity Capacity
	Results  []Result // in the order of the suite's policies
}

// Scenarios gives the scenarios that the results page shows.
func Scenarios() []Scenario {
	all := []Scenario{}
	for _, load := range []float64{0.6, 0.9, 1.0, 1.1, 2.0} {
		all = append(all, Scenario{Load: load, Lag: time.Second})
	}
	for _, lag := range []time.Duration{200 * time.Millisecond, 5 * time.Second} {
		all = append(all, Scenario{Load: 0.9, Lag: lag})
	}
	all = append(all, Scenario{Load: 0.9, Lag: time.Second, Burst: true})
	for _, fault := range []Fault{FaultSlow, FaultStale, FaultCut, FaultHalf, FaultNoisy} {
		all = append(all, Scenario{Load: 0.9, Lag: time.Second, Fault: fault})
	}
	return all
}

// Run makes all runs on some workers; the results do not depend on how many.
func (s *Suite) Run() ([]Group, error) {
	capacities, err := s.capacities()
	if err != nil {
		return nil, err
	}
	var groups []Group
	for _, name := range s.Deployments {
		for _, scenario := range s.Scenarios {
			scenario.Deployment, scenario.Span = name, s.Span
			groups = append(groups, Group{Scenario: scenario, Capacity: capacities[name], Results: make([]Result, len(s.Policies))})
		}
	}
	workers := pool.New().WithMaxGoroutines(cmp.Or(s.Workers, 4)).WithErrors()
	for g := range groups {
		for i, policy := range s.Policies {
			workers.Go(func() error {
				return groups[g].run(i, policy, s.Seeds)
			})
		}
	}
	return groups, workers.Wait()
}

func (g *Group) run(place int, policy string, seeds []uint64) error {
	results := make([]Result, 0, len(seeds))
	for _, seed := range seeds {
		scenario := g.Scenario
		scenario.Seed = seed
		r, err := Run(policy, scenario, g.Capacity)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	g.Results[place] = merge(results)
	return nil
}

func (s *Suite) capacities() (map[string]Capacity, error) {
	capacities := make(map[string]Capacity)
	for _, name := range s.Deployments {
		c, err := MeasureCapacity(name, s.Span, slices.Min(s.Seeds))
		if err != nil {
			return nil, err
		}
		capacities[name] = c
	}
	return capacities, nil
}

// Find gives the result of a policy.
func (g *Group) Find(policy string) *Result {
	i := slices.IndexFunc(g.Results, func(r Result) bool { return r.Policy == policy })
	if i < 0 {
		return nil
	}
	return &g.Results[i]
}
