package share

import (
	"math"
	"slices"
)

// divideMaxMin divides the total by max-min fairness: no part exceeds its demand, and the smallest unsatisfied parts are as large as
// possible.
func divideMaxMin(total float64, demands []float64) []float64 {
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

// divideAll divides the total by max-min fairness and adds an equal part of the remainder to each part.
func divideAll(total float64, demands []float64) []float64 {
	parts := divideMaxMin(total, demands)
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

// roundParts rounds the parts to integers whose sum is that of the parts, rounded down. The parts with the largest fractions are rounded
// up; of equal fractions the first ones are.
func roundParts(parts []float64) []int {
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
