package bench

import "time"

// Quantiles holds the quantiles of one distribution.
type Quantiles struct {
	P50, P95, P99 time.Duration
}

func quantiles(h *intervals) Quantiles {
	return Quantiles{P50: h.quantile(0.5), P95: h.quantile(0.95), P99: h.quantile(0.99)}
}

// Result is what one policy did in one scenario.
type Result struct {
	Policy      string
	Scenario    Scenario
	Stall       time.Duration // mean over answers that began: first token after 0.37 s and gaps over 68 ms, the excess
	Preemptions int
	Between     Quantiles // time between tokens
	First       Quantiles // time to the first token
	Goodput     float64   // tokens per second of whole answers in time
	Requests    int
	Refused     int
	GaveUp      int // callers that left without a first token
	Jain        float64

	goodTokens []float64
	began      int
	between    *intervals
	first      *intervals
	betweenBy  []intervals // by workspace
	firstBy    []intervals
}

// merge sums up the results of one policy and scenario with several seeds.
func merge(results []Result) Result {
	sum := results[0]
	for _, r := range results[1:] {
		sum.Stall += (r.Stall - sum.Stall) * time.Duration(r.began) / time.Duration(max(sum.began+r.began, 1))
		sum.began += r.began
		sum.Preemptions += r.Preemptions
		sum.Goodput += r.Goodput
		sum.Requests += r.Requests
		sum.Refused += r.Refused
		sum.GaveUp += r.GaveUp
		sum.Jain += r.Jain
		sum.between.merge(r.between)
		sum.first.merge(r.first)
		for i := range r.betweenBy {
			sum.betweenBy[i].merge(&r.betweenBy[i])
			sum.firstBy[i].merge(&r.firstBy[i])
		}
	}
	sum.Goodput /= float64(len(results))
	sum.Jain /= float64(len(results))
	sum.Between, sum.First = quantiles(sum.between), quantiles(sum.first)
	return sum
}
