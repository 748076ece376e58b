package bench

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const shortSpan = 60 * time.Second

// pageCapacity holds the capacities that docs/results/crowd.md gives; measuring them takes longer than all the other runs.
var pageCapacity = map[string]Capacity{
	"islaget":   {Tokens: []float64{10773, 6140}, Rates: []float64{31.3, 50.7}},
	"gyeongsan": {Tokens: []float64{12328, 4309}, Rates: []float64{35.9, 86.2}},
}

// runs holds what was run already, so that tests can share it.
var runs sync.Map

type runKey struct {
	policy, deployment string
	load               float64
	fault              Fault
}

func short(t *testing.T, policy, deployment string, load float64, fault Fault) *Result {
	t.Helper()
	once, _ := runs.LoadOrStore(runKey{policy, deployment, load, fault}, sync.OnceValue(func() *Result {
		return play(t, policy, deployment, load, fault)
	}))
	run, _ := once.(func() *Result)
	return run()
}

func play(t *testing.T, policy, deployment string, load float64, fault Fault) *Result {
	t.Helper()
	s := Scenario{Deployment: deployment, Load: load, Lag: usualLag, Fault: fault, Span: shortSpan, Seed: 1}
	r, err := Run(policy, s, pageCapacity[deployment])
	is.New(t).NoErr(err)
	t.Logf("%s, %s: stall %.1f ms, preemptions %d, between p99 %.1f ms, first p99 %.2f s, goodput %.0f, Jain %.3f",
		s.String(), policy, milliseconds(r.Stall), r.Preemptions, milliseconds(r.Between.P99), r.First.P99.Seconds(), r.Goodput, r.Jain)
	return &r
}

func atMost(t *testing.T, value, bound float64) {
	t.Helper()
	if !(value <= bound) {
		t.Errorf("%.3f, bound %.3f", value, bound)
	}
}

// TestTargets holds the policy to its targets at 90% load.
func TestTargets(t *testing.T) {
	for _, name := range Deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			own := short(t, PolicyDogwooddyke, name, 0.9, FaultNone)
			robin := short(t, PolicyRoundRobin, name, 0.9, FaultNone)
			best := short(t, PolicyClairvoyant, name, 0.9, FaultNone)
			t.Run("stallOfRoundRobin", func(t *testing.T) { atMost(t, milliseconds(own.Stall), milliseconds(robin.Stall)/5) })
			t.Run("stallOfClairvoyant", func(t *testing.T) { atMost(t, milliseconds(own.Stall), 1.3*milliseconds(best.Stall)) })
			t.Run("preemptions", func(t *testing.T) { atMost(t, float64(own.Preemptions), 0.05*float64(robin.Preemptions)) })
			t.Run("between", func(t *testing.T) { atMost(t, milliseconds(own.Between.P99), 1.15*milliseconds(best.Between.P99)) })
			t.Run("fairness", func(t *testing.T) { atMost(t, 0.95, own.Jain) })
		})
	}
}

// TestOverload checks that goodput at twice the capacity does not collapse.
func TestOverload(t *testing.T) {
	for _, name := range Deployments() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			full := short(t, PolicyDogwooddyke, name, 1, FaultNone)
			twice := short(t, PolicyDogwooddyke, name, 2, FaultNone)
			atMost(t, 0.9*full.Goodput, twice.Goodput)
		})
	}
}

// lost gives the part of the engines' speed that a fault takes away in the measured time: it holds for 0.3 of a run of which 0.75 are measured.
func lost(fault Fault, deployment string) float64 {
	d, _ := deploymentOf(deployment)
	all, gone := 0.0, 0.0
	for _, s := range d.services {
		for n, e := range s.engines {
			all += e.Speed
			if fault == FaultHalf && n%2 == 0 {
				gone += e.Speed
			}
			if fault == FaultSlow && n == 0 {
				gone += 0.75 * e.Speed
			}
		}
	}
	return gone / all * 0.3 / 0.75
}

// TestFaults checks that goodput falls no more than the engines' speed does.
func TestFaults(t *testing.T) {
	for _, fault := range []Fault{FaultSlow, FaultStale, FaultCut, FaultHalf} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			usual := short(t, PolicyDogwooddyke, "islaget", 0.9, FaultNone)
			faulty := short(t, PolicyDogwooddyke, "islaget", 0.9, fault)
			atMost(t, 0.9*(1-lost(fault, "islaget"))*usual.Goodput, faulty.Goodput)
		})
	}
}

// TestNoisyWorkspace checks that one workspace at ten times its limit leaves the others' tails alone.
func TestNoisyWorkspace(t *testing.T) {
	usual := short(t, PolicyDogwooddyke, "islaget", 0.75, FaultNone)
	noisy := short(t, PolicyDogwooddyke, "islaget", 0.75, FaultNoisy)
	for _, measure := range []struct {
		name string
		of   func(r *Result) time.Duration
	}{
		{"first", func(r *Result) time.Duration { return others(r.firstBy) }},
		{"between", func(r *Result) time.Duration { return others(r.betweenBy) }},
	} {
		t.Run(measure.name, func(t *testing.T) {
			atMost(t, milliseconds(measure.of(noisy)), 1.1*milliseconds(measure.of(usual)))
		})
	}
}

// others gives the 99th percentile over all workspaces but the last.
func others(by []intervals) time.Duration {
	sum := intervals{}
	for i := range by[:len(by)-1] {
		sum.merge(&by[i])
	}
	return sum.quantile(0.99)
}
