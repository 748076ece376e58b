package bench

import (
	"fmt"
	"time"

	"github.com/samber/oops"
)

// The policies.
const (
	PolicyRoundRobin    = "roundRobin"
	PolicyLeastInflight = "leastInflight"
	PolicyDogwooddyke   = "dogwooddyke"
	PolicyClairvoyant   = "clairvoyant"
)

// Policies lists all policies in the order of the tables.
func Policies() []string {
	return []string{PolicyRoundRobin, PolicyLeastInflight, PolicyDogwooddyke, PolicyClairvoyant}
}

// epoch is the start of all synthetic time.
func epoch() time.Time { return time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC) }

// Deployments lists the deployments by name.
func Deployments() []string { return []string{"islaget", "gyeongsan"} }

func deploymentOf(name string) (*deployment, error) {
	for _, d := range []deployment{islaget(), gyeongsan()} {
		if d.name == name {
			return &d, nil
		}
	}
	return nil, oops.Errorf("deployment %q: unknown", name)
}

func newPolicy(name string, d *driver, seed uint64) (policy, error) {
	switch name {
	case PolicyRoundRobin:
		return newRoundRobin(d, seed), nil
	case PolicyLeastInflight:
		return newLeastInflight(d, seed), nil
	case PolicyDogwooddyke:
		return newDogwooddyke(d, seed), nil
	case PolicyClairvoyant:
		return newClairvoyant(d, clairvoyantTries), nil
	}
	return nil, oops.Errorf("policy %q: unknown", name)
}

// Capacity is what a deployment's engines can do: the goodput of the clairvoyant policy when more is asked than it can serve.
// It serves in strict order then, so that the mix of what it serves is the mix of what is asked.
type Capacity struct {
	Tokens []float64 // per second, by service
	Rates  []float64 // requests per second that make so many tokens, by service
}

// MeasureCapacity runs the clairvoyant policy at saturation.
func MeasureCapacity(name string, span time.Duration, seed uint64) (Capacity, error) {
	d, err := deploymentOf(name)
	if err != nil {
		return Capacity{}, err
	}
	rates := make([]float64, len(d.services))
	for i := range d.services {
		rates[i] = saturation * d.services[i].guess() / d.services[i].tokensPerRequest()
	}
	s := &Scenario{Deployment: name, Load: saturation, Lag: 0, Span: span, Seed: seed}
	r := newDriver(s, d, epoch())
	r.policy = newClairvoyant(r, 0)
	r.run(d.jobs(s, rates, epoch()))
	c := Capacity{}
	for i, tokens := range r.measure.result(PolicyClairvoyant, nil).goodTokens {
		perSecond := tokens / r.measure.span()
		c.Tokens = append(c.Tokens, perSecond)
		c.Rates = append(c.Rates, perSecond/d.services[i].tokensPerRequest())
	}
	return c, nil
}

// Run plays one scenario under one policy.
func Run(policy string, s Scenario, capacity Capacity) (Result, error) {
	d, err := deploymentOf(s.Deployment)
	if err != nil {
		return Result{}, err
	}
	r := newDriver(&s, d, epoch())
	if r.policy, err = newPolicy(policy, r, s.Seed); err != nil {
		return Result{}, err
	}
	rates := make([]float64, len(capacity.Rates))
	for i, rate := range capacity.Rates {
		rates[i] = rate * s.Load
	}
	r.run(d.jobs(&s, rates, epoch()))
	return r.measure.result(policy, capacity.Tokens), nil
}

// String names the scenario in a table.
func (s *Scenario) String() string {
	text := fmt.Sprintf("%s, load %.0f%%, lag %v", s.Deployment, s.Load*100, s.Lag)
	if s.Burst {
		text += ", bursts"
	}
	if s.Fault != FaultNone {
		text += ", " + string(s.Fault)
	}
	return text
}
