package model

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMain fixes the seed of the property tests; the command line may set another.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	m.Run()
}

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

// bench runs a model beside its naive version.
type bench struct {
	*rapid.T
	now   time.Time
	model *Model
	naive *naive
	all   []*Generation
	next  map[string]int // index of the next token
}

func newBench(t *rapid.T) *bench {
	config := Config{
		Slots:        rapid.IntRange(1, 5).Draw(t, "slots"),
		Knee:         rapid.IntRange(1, 3).Draw(t, "knee"),
		StepTime:     time.Millisecond,
		SequenceCost: time.Millisecond,
		Capacity:     rapid.IntRange(20, 400).Draw(t, "capacity"),
		MemoryKnee:   0.5,
		PrefillSpeed: 10_000,
		PrefillChunk: rapid.IntRange(1, 100).Draw(t, "chunk"),
		CacheBlocks:  rapid.IntRange(1, 4).Draw(t, "cache"),
	}.withDefaults()
	return &bench{T: t, now: start, model: New(config, start), naive: &naive{config: config}, next: make(map[string]int)}
}

func (b *bench) start() {
	g := &Generation{
		ID:       fmt.Sprint(len(b.all)),
		Priority: rapid.IntRange(0, 2).Draw(b.T, "priority"),
		Prompt:   rapid.IntRange(1, 200).Draw(b.T, "prompt"),
		Length:   rapid.IntRange(1, 40).Draw(b.T, "length"),
	}
	for i := range g.Prompt / promptBlockTokens {
		g.Blocks = append(g.Blocks, uint64(i*10+rapid.IntRange(0, 1).Draw(b.T, "block")))
	}
	if err := b.model.Start(g, b.now); err != nil {
		if !errors.Is(err, ErrTooLarge) || g.Prompt+g.Length <= b.model.config.Capacity {
			b.Fatalf("start: %v", err)
		}
		return
	}
	b.all = append(b.all, g)
	b.naive.start(&naiveSequence{id: g.ID, priority: g.Priority, prompt: g.Prompt, length: g.Length, blocks: g.Blocks}, b.now)
}

func (b *bench) cancel() {
	if len(b.all) == 0 {
		return
	}
	g := rapid.SampledFrom(b.all).Draw(b.T, "cancelled")
	b.model.Cancel(g, b.now)
	b.naive.cancel(g.ID)
}

func (b *bench) advance(by time.Duration) {
	b.now = b.now.Add(by)
	got := []naiveEvent{}
	for _, e := range b.model.Step(b.now) {
		got = append(got, naiveEvent{e.Generation.ID, e.Kind, e.Index, e.At})
		if e.Index != b.next[e.Generation.ID] {
			b.Fatalf("index %d of %s, want %d", e.Index, e.Generation.ID, b.next[e.Generation.ID])
		}
		if e.Kind != KindPreempted {
			b.next[e.Generation.ID]++
		}
	}
	if want := b.naive.step(b.now); !slices.Equal(got, want) {
		b.Fatalf("got  %v\nwant %v", got, want)
	}
}

func (b *bench) check() {
	load := b.model.Truth(b.now)
	if load.UsedTokens != b.naive.used() || load.UsedTokens > load.CapacityTokens {
		b.Fatalf("used %d of %d, naively %d", load.UsedTokens, load.CapacityTokens, b.naive.used())
	}
	if load.Running != len(b.naive.running()) || load.Waiting != len(b.naive.waiting()) {
		b.Fatalf("running %d and waiting %d, naively %d and %d",
			load.Running, load.Waiting, len(b.naive.running()), len(b.naive.waiting()))
	}
}

func TestModelIsAsNaive(t *testing.T) {
	preemptions, cached := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1, 2:
				b.start()
			case 3:
				b.cancel()
			default:
				b.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
			}
			b.check()
		}
		b.advance(time.Hour)
		if load := b.model.Truth(b.now); load.Running+load.Waiting+load.UsedTokens+b.model.Remaining() > 0 {
			t.Fatalf("left over: %+v", load)
		}
		preemptions += b.model.Counters().Preemptions
		cached += b.model.Counters().CachedTokens
	})
	is := is.New(t)
	is.True(preemptions > 0) // the cases reach what they are meant for
	is.True(cached > 0)
}

// run steps the model until it is idle and returns the time of the last event.
func run(m *Model) time.Time {
	var last time.Time
	for {
		next, busy := m.Next()
		if !busy {
			return last
		}
		m.Step(next)
		last = next
	}
}

func TestModel(t *testing.T) {
	t.Run("stallTime", func(t *testing.T) {
		is := is.New(t)
		m := New(Config{Capacity: 30, StepTime: time.Millisecond, PrefillSpeed: 1e9}, start)
		high, low := &Generation{ID: "high", Prompt: 2, Length: 20}, &Generation{ID: "low", Priority: 1, Prompt: 2, Length: 20}
		is.NoErr(m.Start(low, start))
		is.NoErr(m.Start(high, start))
		run(m)
		is.Equal(m.Counters().Preemptions, 1)
		is.Equal(low.Preemptions(), 1)
		is.True(m.Counters().StallTime > 5*time.Millisecond) // while the other finishes alone
	})
	t.Run("prefixSavesPrefill", func(t *testing.T) {
		is := is.New(t)
		m := New(Config{}, start)
		for range 2 {
			is.NoErr(m.Start(&Generation{Prompt: 200, Length: 1, Blocks: []uint64{1, 2, 3}}, start))
			run(m)
		}
		is.Equal(m.Counters().PrefillTokens, 200+200-3*promptBlockTokens)
	})
	t.Run("speed", func(t *testing.T) {
		is := is.New(t)
		took := func(speed float64) time.Duration {
			m := New(Config{Speed: speed}, start)
			is.NoErr(m.Start(&Generation{Prompt: 200, Length: 50}, start))
			return run(m).Sub(start)
		}
		is.Equal(took(1), 2*took(2))
	})
	t.Run("laggedLoad", func(t *testing.T) {
		is := is.New(t)
		m := New(Config{LoadLag: time.Second, StepTime: 10 * time.Millisecond}, start)
		is.NoErr(m.Start(&Generation{Prompt: 10, Length: 1000}, start))
		for now := start; now.Sub(start) < 9*time.Second; now = now.Add(50 * time.Millisecond) {
			m.Step(now)
			load := m.Load(now)
			lag := now.Sub(load.At)
			is.True(lag >= time.Second || load.At.Equal(start))
			is.True(lag <= time.Second+time.Second/loadSamplesPerLag+10*time.Millisecond)
		}
		is.True(len(m.history.samples) <= 4*loadSamplesPerLag+1)
	})
	t.Run("gaps", func(t *testing.T) {
		is := is.New(t)
		m := New(Config{CacheGapRate: 0.5, CacheBlocks: 10, Seed: 1}, start)
		for i := range uint64(500) {
			m.cache.store([]uint64{i}, start)
		}
		told := m.CacheEvents(0, start)
		is.True(len(told) > 400 && len(told) < 600) // of 500 stored and 490 evicted
		is.Equal(m.cache.sequence, uint64(990))
	})
	t.Run("full", func(t *testing.T) {
		is := is.New(t)
		m := New(Config{Waiting: 1, Slots: 1}, start)
		is.NoErr(m.Start(&Generation{Prompt: 1}, start))
		is.NoErr(m.Start(&Generation{Prompt: 1}, start))
		is.True(errors.Is(m.Start(&Generation{Prompt: 1}, start), ErrFull))
	})
	t.Run("check", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(Config{}.Check())
		for _, c := range []Config{{Slots: -1}, {Speed: math.NaN()}, {CacheGapRate: 2}, {LoadLag: -1}, {MemoryKnee: 1.1}} {
			is.True(errors.Is(c.Check(), ErrConfig))
		}
	})
	t.Run("lengths", func(t *testing.T) {
		is := is.New(t)
		all := []int{}
		for seed := range uint64(2000) {
			all = append(all, Lengths{}.Draw(seed))
		}
		slices.Sort(all)
		is.True(all[0] >= minimumLength && all[0] < 10)
		is.True(all[1000] > 150 && all[1000] < 210)
		is.True(all[1999] > 10_000 && all[1999] <= defaultMaximum)
	})
}
