package capacity

import (
	"context"
	"net/netip"
	"time"

	"dogwooddyke/coordination/member"
	"dogwooddyke/standin"
	"dogwooddyke/transport/platform"
)

// listReadings is how often one measurement reads the list.
const listReadings = 20

// rosterTime reads the list over HTTP and takes it into a member table; the stand-in's part is in it.
func rosterTime(ctx context.Context, size int, _ uint64) (float64, error) {
	rows := memberRows(size)
	config := standin.RosterConfig{}
	for _, r := range rows {
		config.Instances = append(config.Instances, standin.Instance{
			Address: r.Address, Kind: standin.KindInstance, DataCentre: r.DataCentre, State: standin.InstanceLive,
		})
	}
	roster := standin.NewRoster(config)
	defer func() { _ = roster.Close() }()
	at, err := roster.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return 0, err
	}
	client := platform.NewRoster("http://"+at.String(), platform.NewClient())
	members := member.New(rows[0].Address, nothingLeaving{})
	return processorCost(func() error {
		for range listReadings {
			if err := readList(ctx, client, members); err != nil {
				return err
			}
		}
		return nil
	})
}

func readList(ctx context.Context, client *platform.Roster, members *member.Members) error {
	listed, err := client.Instances(ctx)
	if err != nil {
		return err
	}
	rows := make([]member.Row, 0, len(listed))
	for _, l := range listed {
		rows = append(rows, member.Row{
			Address: l.Address, Kind: member.Kind(l.Kind), DataCentre: l.DataCentre, State: member.State(l.State),
		})
	}
	members.List(time.Now(), rows)
	return nil
}
