package model

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// BenchmarkToken measures a step of a full batch, per token.
func BenchmarkToken(b *testing.B) {
	m := New(Config{Slots: 200, Capacity: 1 << 40}, start)
	for i := range 200 {
		if err := m.Start(&Generation{ID: fmt.Sprint(i), Prompt: 100, Length: 1 << 30}, start); err != nil {
			b.Fatal(err)
		}
	}
	tokens := 0
	b.ResetTimer()
	for tokens < b.N {
		next, _ := m.Next()
		tokens += len(m.Step(next))
	}
}

// BenchmarkChurn measures short generations with prefixes, through crowded memory, per token.
func BenchmarkChurn(b *testing.B) {
	m := New(Config{Slots: 200, Capacity: 20_000, CacheBlocks: 64}, start)
	now, tokens, id := start, 0, 0
	b.ResetTimer()
	for tokens < b.N {
		for m.Truth(now).Waiting < 20 {
			id++
			g := &Generation{ID: "g", Prompt: 200, Length: 1 + id%300, Blocks: []uint64{uint64(id % 50), uint64(id)}}
			if err := m.Start(g, now); err != nil {
				b.Fatal(err)
			}
		}
		now, _ = m.Next()
		tokens += len(m.Step(now))
	}
}

func TestModel(t *testing.T) {
	t.Run("idle", func(t *testing.T) {
		is := is.New(t)
		m := New(Config{}, start)
		_, busy := m.Next()
		is.True(!busy)
	})
}
