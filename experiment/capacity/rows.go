package capacity

import (
	"context"
	"encoding/json"

	"dogwooddyke/standin"
)

func rosterProbes() []Probe {
	return []Probe{
		{Name: "rosterBytes", Item: "row of the platform's list", Unit: "bytes", Source: "transport/platform", Sizes: []int{400, 800, 1600, 3200}, Cost: rosterBytes},
		{Name: "rosterTime", Item: "row in 20 readings of the list", Unit: "µs", Source: "transport/platform, coordination/member", Sizes: []int{400, 800, 1600, 3200}, Cost: rosterTime},
	}
}

func rosterOf(count int) ([]byte, error) {
	list := struct {
		Instances []standin.Instance `json:"instances"`
	}{}
	for _, r := range memberRows(count) {
		list.Instances = append(list.Instances, standin.Instance{
			Address: r.Address, Kind: standin.KindInstance, DataCentre: r.DataCentre, State: standin.InstanceLive,
		})
	}
	return json.Marshal(list)
}

func rosterBytes(_ context.Context, size int, _ uint64) (float64, error) {
	data, err := rosterOf(size)
	return float64(len(data)), err
}
