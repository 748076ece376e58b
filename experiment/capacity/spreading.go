package capacity

import (
	"context"

	"dogwooddyke/experiment/demo"
)

// spreadInstances is the fleet that changes are spread over when it is measured.
const spreadInstances = 6

func spreadProbes() []Probe {
	sizes := []int{10, 20, 40, 80}
	return []Probe{
		{
			Name: "changeSpreadBytes", Item: "change of an entry with 16 endpoints in a fleet of 6, between instances", Unit: "bytes", Source: "coordination/replica",
			Sizes: sizes, Repetitions: slowRepetitions, Cost: func(ctx context.Context, size int, _ uint64) (float64, error) {
				i, err := demo.MeasureChanges(ctx, spreadInstances, size)
				return i.Bytes, err
			},
		},
	}
}
