package share

import (
	"math"
	"slices"
)

// fill divides the total max-min fairly: nobody gets more than the demand, and who gets less gets the most that is possible.
func fill(total float64, demands []float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if demands[a] < demands[b] {
			return -1
		}
		if demands[a] > demands[b] {
			return 1
		}
		return 0
	})
	parts := make([]float64, len(demands))
	left := max(total, 0)
	for n, i := range order {
		parts[i] = min(max(demands[i], 0), left/float64(len(order)-n))
		left -= parts[i]
	}
	return parts
}

// fillAll divides the total max-min fairly and what is left in equal parts.
func fillAll(total float64, demands []float64) []float64 {
	parts := fill(total, demands)
	left := max(total, 0)
	for _, part := range parts {
		left -= part
	}
	if left <= 0 {
		return parts
	}
	for i := range parts {
		parts[i] += left / float64(len(parts))
	}
	return parts
}

// whole rounds the parts to integers with the same sum, rounded down; the largest fractions are rounded up, the first of equals first.
func whole(parts []float64) []int {
	rounded := make([]int, len(parts))
	order := make([]int, len(parts))
	sum, floor := 0.0, 0
	for i, part := range parts {
		order[i] = i
		rounded[i] = int(part)
		sum += part
		floor += rounded[i]
	}
	fraction := func(i int) float64 { return parts[i] - math.Floor(parts[i]) }
	slices.SortStableFunc(order, func(a, b int) int {
		if fraction(a) > fraction(b)+1e-9 {
			return -1
		}
		if fraction(a) < fraction(b)-1e-9 {
			return 1
		}
		return a - b
	})
	for _, i := range order[:min(int(sum+1e-6)-floor, len(order))] {
		rounded[i]++
	}
	return rounded
}
