package capacity

import (
	"slices"
)

// Sample is one measured cost at one size.
type Sample struct {
	Size int     `json:"size"`
	Cost float64 `json:"cost"`
}

// Slope is the cost of one more item, fitted over all sizes once for each repetition.
type Slope struct {
	Name        string   `json:"name"`
	Item        string   `json:"item"` // what is counted
	Unit        string   `json:"unit"` // of the cost
	Source      string   `json:"source"`
	PerItem     float64  `json:"perItem"` // median over the repetitions
	Least       float64  `json:"least"`
	Most        float64  `json:"most"`
	Base        float64  `json:"base"` // cost that does not grow, median over the repetitions
	Sizes       []int    `json:"sizes"`
	Repetitions int      `json:"repetitions"`
	Samples     []Sample `json:"samples"` // of all repetitions
}

// fit returns the line of least squares through the samples.
func fit(samples []Sample) (perItem, base float64) {
	var sumX, sumY, sumXX, sumXY float64
	for _, s := range samples {
		x := float64(s.Size)
		sumX += x
		sumY += s.Cost
		sumXX += x * x
		sumXY += x * s.Cost
	}
	n := float64(len(samples))
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return 0, sumY / n
	}
	perItem = (n*sumXY - sumX*sumY) / spread
	return perItem, (sumY - perItem*sumX) / n
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
