package resumption

import (
	"fmt"
	"testing"
	"time"

	"dogwooddyke/coordination/internal/message"
	"dogwooddyke/state/stream"
)

// BenchmarkBegan measures what the beginning of a stream costs its instance, without the network.
func BenchmarkBegan(b *testing.B) {
	for _, count := range []int{8, 1600} {
		b.Run(fmt.Sprint("instances", count), func(b *testing.B) {
			w := &world{nodes: make([]*node, 0, count), lost: func() bool { return true }}
			for _, n := range newWorld(nil, count).nodes {
				n.world = w
				w.nodes = append(w.nodes, n)
			}
			now, n := time.Now(), 0
			r := newRecord(stream.Of("w", "r"), stream.Beginning{Service: "seda18a", Version: "v1.1", Until: now.Add(time.Minute)}, now)
			data, err := message.Encode(&Notice{Records: []Record{r}})
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				n++
				w.nodes[0].Began(stream.Of("w", fmt.Sprint(n)), "seda18a", "v1.1", now.Add(time.Minute), now)
			}
			b.ReportMetric(float64(len(data)), "bytes/notice")
		})
	}
}
