package model

import (
	"cmp"
	"time"
)

// Config sizes a model; zero fields take the defaults.
type Config struct {
	Slots        int           // sequences in one batch at most
	Knee         int           // batch size from which a step takes longer
	StepTime     time.Duration // of one step up to the knee
	SequenceCost time.Duration // added to a step for each sequence beyond the knee
	Capacity     int           // KV memory, tokens
	MemoryKnee   float64       // share of the capacity from which a step takes longer
	MemoryCost   time.Duration // added to a step when the memory is full
	PrefillSpeed float64       // prompt tokens per second
	PrefillChunk int           // prompt tokens in one step at most
	Speed        float64       // factor on all of the above; 2 is twice as fast
	LoadLag      time.Duration // age of what Load reports
	CacheBlocks  int           // prompt blocks in the prefix cache; negative: no cache
	CacheDelay   time.Duration // age at which a cache event is told
	CacheGapRate float64       // share of cache events that are never told, 0 to 1
	Waiting      int           // generations that wait at most
	Seed         uint64        // of the gaps in the cache events
}

func (c Config) withDefaults() Config {
	c.Slots = cmp.Or(c.Slots, defaultSlots)
	c.Knee = cmp.Or(c.Knee, defaultKnee)
	c.StepTime = cmp.Or(c.StepTime, defaultStepTime)
	c.SequenceCost = cmp.Or(c.SequenceCost, defaultSequenceCost)
	c.Capacity = cmp.Or(c.Capacity, defaultCapacity)
	c.MemoryKnee = cmp.Or(c.MemoryKnee, defaultMemoryKnee)
	c.MemoryCost = cmp.Or(c.MemoryCost, defaultMemoryCost)
	c.PrefillSpeed = cmp.Or(c.PrefillSpeed, defaultPrefillSpeed)
	c.PrefillChunk = cmp.Or(c.PrefillChunk, defaultPrefillChunk)
	c.Speed = cmp.Or(c.Speed, defaultSpeed)
	c.CacheBlocks = cmp.Or(c.CacheBlocks, defaultCacheBlocks)
	c.Waiting = cmp.Or(c.Waiting, defaultWaiting)
	return c
}

// stepTime gives the duration of a step of the batch size, the memory in use and the prompt tokens.
func (c *Config) stepTime(batch, used, prefill int) time.Duration {
	duration := c.StepTime
	if batch > c.Knee {
		duration += time.Duration(batch-c.Knee) * c.SequenceCost
	}
	if share := float64(used) / float64(c.Capacity); share > c.MemoryKnee {
		duration += time.Duration(float64(c.MemoryCost) * (share - c.MemoryKnee) / (1 - c.MemoryKnee))
	}
	if prefill > 0 {
		duration += time.Duration(float64(prefill) / c.PrefillSpeed * float64(time.Second))
	}
	return time.Duration(float64(duration) / c.Speed)
}
