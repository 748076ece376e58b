package capacity

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"dogwooddyke/coordination/member"
)

// position is a catalogue's position of the usual size.
func position() member.Position {
	return member.Position{Offset: 123_456, Digest: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}
}

func heartbeatProbes() []Probe {
	counts := []int{500, 1000, 2000, 4000}
	return []Probe{
		{
			Name: "heartbeatBytes", Item: "heartbeat and its answer", Unit: "bytes", Source: "coordination/member, transport/peer", Sizes: counts,
			Cost: func(ctx context.Context, size int, _ uint64) (float64, error) { return heartbeats(ctx, size, true) },
		},
		{
			Name: "heartbeatTime", Item: "heartbeat, both ends", Unit: "µs", Source: "coordination/member, transport/peer", Sizes: counts,
			Cost: func(ctx context.Context, size int, _ uint64) (float64, error) { return heartbeats(ctx, size, false) },
		},
		{
			Name: "newsBytes", Item: "item of news in a heartbeat", Unit: "bytes", Source: "coordination/member", Sizes: []int{8, 16, 32, 64},
			Cost: newsBytes,
		},
		{
			Name: "memberMemory", Item: "instance in the member table", Unit: "bytes", Source: "coordination/member", Sizes: []int{400, 800, 1200, 1600},
			Cost: memberMemory,
		},
		{
			Name: "rendezvousTime", Item: "live instance in 1,000 choices of a steward", Unit: "µs", Source: "coordination/member", Sizes: []int{200, 400, 800, 1600},
			Cost: rendezvousTime,
		},
	}
}

// heartbeats sends heartbeats between two member tables.
func heartbeats(ctx context.Context, count int, inBytes bool) (float64, error) {
	rows := memberRows(2)
	server := member.New(rows[0].Address, nothingLeaving{})
	caller := member.New(rows[1].Address, nothingLeaving{})
	server.List(time.Now(), rows)
	caller.List(time.Now(), rows)
	serve := func(_ context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
		var beat member.Heartbeat
		if err := json.Unmarshal(params, &beat); err != nil {
			return nil, err
		}
		server.Heard(time.Now(), caller.Self(), beat)
		answer, through := server.Beat(caller.Self(), position())
		server.Confirm(caller.Self(), through)
		return answer, nil
	}
	beat, _ := caller.Beat(server.Self(), position())
	return exchange(ctx, member.MethodHeartbeat, serve, beat, count, inBytes)
}

func newsBytes(_ context.Context, size int, _ uint64) (float64, error) {
	beat := member.Heartbeat{State: member.StateLive, Position: position()}
	for _, r := range memberRows(size) {
		beat.News = append(beat.News, member.News{Kind: member.NewsSuspected, Address: r.Address, Life: 1_764_792_000})
	}
	data, err := json.Marshal(beat)
	return float64(len(data)), err
}

func memberMemory(_ context.Context, size int, _ uint64) (float64, error) {
	return heapCost(func() (any, error) {
		rows := memberRows(size)
		m := member.New(rows[0].Address, nothingLeaving{})
		m.List(time.Now(), rows)
		return m, nil
	})
}

func rendezvousTime(_ context.Context, size int, _ uint64) (float64, error) {
	rows := memberRows(size)
	m := member.New(rows[0].Address, nothingLeaving{})
	m.List(time.Now(), rows)
	return processorCost(func() error {
		for i := range 1000 {
			m.Steward(addressOf(i).String())
		}
		return nil
	})
}

// nothingLeaving is a catalogue without leaving endpoints.
type nothingLeaving struct{}

// Leaving returns false.
func (nothingLeaving) Leaving(netip.AddrPort) bool { return false }

func memberRows(count int) []member.Row {
	rows := make([]member.Row, 0, count)
	for i := range count {
		rows = append(rows, member.Row{Address: addressOf(i), Kind: member.KindInstance, DataCentre: "lulea-a", State: member.StateLive})
	}
	return rows
}

// addressOf returns a different address for each number up to 16 million.
func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), 7000)
}
