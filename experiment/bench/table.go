package bench

import (
	"fmt"
	"io"
	"time"
)

// Header writes the head of a markdown table of results.
func Header(w io.Writer) {
	fmt.Fprintln(w, "| policy | stall ms | preemptions | between p50/p95/p99 ms | first p50/p95/p99 s | goodput tok/s | of capacity | requests | refused % | gave up % | Jain |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|")
}

// Row writes one result as a line of a markdown table.
func Row(w io.Writer, r *Result, capacity float64) {
	count := float64(max(r.Requests, 1))
	fmt.Fprintf(w, "| %s | %.1f | %d | %.1f / %.1f / %.1f | %.2f / %.2f / %.2f | %.0f | %.1f%% | %d | %.2f | %.2f | %.3f |\n",
		r.Policy, milliseconds(r.Stall), r.Preemptions,
		milliseconds(r.Between.P50), milliseconds(r.Between.P95), milliseconds(r.Between.P99),
		r.First.P50.Seconds(), r.First.P95.Seconds(), r.First.P99.Seconds(),
		r.Goodput, 100*r.Goodput/capacity, r.Requests,
		100*float64(r.Refused)/count, 100*float64(r.GaveUp)/count, r.Jain)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Total gives the capacity over all services, in tokens per second.
func (c *Capacity) Total() float64 {
	total := 0.0
	for _, tokens := range c.Tokens {
		total += tokens
	}
	return total
}
