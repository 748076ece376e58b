package reclaim

import (
	"fmt"
	"io"
	"math/rand/v2"
)

// Options say what is compared.
type Options struct {
	Reclaims int
	Seed     uint64
	Means    []float64 // runs at an engine, on average
}

// Result is what became of the runs with one policy.
type Result struct {
	Policy  string
	Mean    float64
	Outcome Outcome
}

// Run plays the same reclaims with each policy.
func Run(o *Options) []Result {
	var results []Result
	for _, mean := range o.Means {
		for _, name := range Policies() {
			results = append(results, Result{name, mean, play(name, mean, o)})
		}
	}
	return results
}

func play(name string, mean float64, o *Options) Outcome {
	var sum Outcome
	random := rand.New(rand.NewPCG(o.Seed, 7))
	for range o.Reclaims {
		// Each reclaim has a seed of its own, so that policies meet the same ones.
		s := newScene(rand.New(rand.NewPCG(random.Uint64(), 1)), mean)
		one := s.play(newPolicy(name))
		sum.Kept += one.Kept
		sum.Late += one.Late
		sum.Lost += one.Lost
	}
	return sum
}

// Print writes the results as a table.
func Print(w io.Writer, results []Result) error {
	if _, err := fmt.Fprint(w, "| runs at an engine | policy | on time | late | lost |\n|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, r := range results {
		o := r.Outcome
		if _, err := fmt.Fprintf(w, "| %g | %s | %.3f | %.3f | %.3f |\n", r.Mean, r.Policy, o.Share(o.Kept), o.Share(o.Late), o.Share(o.Lost)); err != nil {
			return err
		}
	}
	return nil
}
