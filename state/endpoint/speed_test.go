package endpoint

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestKnee(t *testing.T) {
	is := is.New(t)
	s := NewSpeed()
	step := func(batch int) time.Duration { return 20*time.Millisecond + time.Duration(batch)*time.Millisecond }
	for n := range 3000 {
		batch := 1 + n%40
		s.Observe(batch, step(batch))
	}
	is.Equal(s.Knee(), 30) // 20 ms + 30 ms is the target
	is.True((s.Step(10) - step(10)).Abs() < time.Millisecond)
	s.Observe(0, time.Second)
	s.Observe(1, -time.Second)
	is.Equal(s.samples, 3000)
}

func TestCache(t *testing.T) {
	is := is.New(t)
	c := NewCache()
	stored := func(sequence, block uint64) CacheEvent { return CacheEvent{Sequence: sequence, Block: block} }
	c.Apply([]CacheEvent{stored(1, 10), stored(2, 11)})
	is.Equal(c.Match([]uint64{10, 11, 12}), 2.0)
	is.Equal(c.Match([]uint64{9, 10}), 0.0)
	c.Apply([]CacheEvent{stored(5, 12)})
	is.True(c.Match([]uint64{10, 11}) < 2) // a gap may have hidden evictions
	c.Apply([]CacheEvent{{Sequence: 4, Evicted: true, Block: 10}})
	is.True(c.Match([]uint64{10}) > 0) // an event that was already processed changes nothing
	c.Apply([]CacheEvent{{Sequence: 6, Evicted: true, Block: 10}})
	is.Equal(c.Match([]uint64{10}), 0.0)
	for n := range uint64(2 * maximumCachedBlocks) {
		c.Dispatched([]uint64{n})
	}
	is.True(len(c.blocks) <= maximumCachedBlocks)
}

func TestHealth(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	h := Health{}
	for range 4 {
		h.Failure(now)
	}
	is.True(h.Failing())
	h.Eject(now)
	is.True(h.Blocked(now.Add(firstEjection - 1)))
	is.True(!h.Blocked(now.Add(firstEjection))) // a probe is due
	h.Dispatched()
	is.True(h.Blocked(now.Add(firstEjection))) // only one probe is in flight at a time
	h.Failure(now.Add(firstEjection))
	is.True(h.Blocked(now.Add(2 * firstEjection))) // a failed probe is followed by a longer ejection
	h.Dispatched()
	h.Success()
	is.True(!h.Ejected())
}
