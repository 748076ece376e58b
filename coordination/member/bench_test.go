package member

import (
	"encoding/json"
	"testing"
	"time"
)

// benchMembers is the number of instances to design for.
const benchMembers = 1600

func benchTable() (*Members, []Row) {
	all := addresses(benchMembers)
	m := New(all[0], nil)
	var rows []Row
	for _, a := range all {
		rows = append(rows, Row{Address: a, Kind: KindInstance, DataCentre: "lulea-a", State: StateLive})
	}
	for _, a := range addresses(4600) {
		rows = append(rows, Row{Address: a, Kind: KindEndpoint, DataCentre: "lulea-a", State: StateLive})
	}
	m.List(time.Unix(1e9, 0), rows)
	return m, rows
}

func BenchmarkSteward(b *testing.B) {
	m, _ := benchTable()
	for b.Loop() {
		m.Steward("isoraklet")
	}
}

func BenchmarkTick(b *testing.B) {
	m, _ := benchTable()
	now := time.Unix(1e9, 0)
	for b.Loop() {
		now = now.Add(BeatInterval)
		for _, a := range m.Tick(now) {
			m.Seen(now, a)
		}
	}
}

func BenchmarkList(b *testing.B) {
	m, rows := benchTable()
	data, err := json.Marshal(struct {
		Instances []Row `json:"instances"`
	}{rows})
	if err != nil {
		b.Fatal(err)
	}
	now := time.Unix(1e9, 0)
	for b.Loop() {
		now = now.Add(time.Second)
		m.List(now, rows)
	}
	b.ReportMetric(float64(len(data)), "bytes")
}

func BenchmarkHeartbeat(b *testing.B) {
	m, _ := benchTable()
	size := 0
	for b.Loop() {
		beat, through := m.Beat(addresses(2)[1], Position{Offset: 123456, Digest: "0123456789abcdef"})
		m.Confirm(addresses(2)[1], through)
		data, err := json.Marshal(beat)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}
