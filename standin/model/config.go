package model

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// ErrConfig reports sizes that no engine can have.
var ErrConfig = errors.New("invalid size")

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

// Check returns an error that wraps ErrConfig and names the field when the model can't have the sizes.
func (c Config) Check() error {
	whole := c.withDefaults()
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"slots", float64(whole.Slots)},
		{"knee", float64(whole.Knee)},
		{"stepTime", float64(whole.StepTime)},
		{"capacity", float64(whole.Capacity)},
		{"memoryKnee", whole.MemoryKnee},
		{"prefillSpeed", whole.PrefillSpeed},
		{"prefillChunk", float64(whole.PrefillChunk)},
		{"speed", whole.Speed},
		{"waiting", float64(whole.Waiting)},
	} {
		if !(f.value > 0) {
			return fmt.Errorf("%w: %s: must be above 0", ErrConfig, f.name)
		}
	}
	return whole.checkNatural()
}

// checkNatural checks the fields that may be zero.
func (c Config) checkNatural() error {
	if c.SequenceCost < 0 || c.MemoryCost < 0 || c.LoadLag < 0 || c.CacheDelay < 0 {
		return fmt.Errorf("%w: sequenceCost, memoryCost, loadLag, cacheDelay: must not be negative", ErrConfig)
	}
	if c.MemoryKnee > 1 {
		return fmt.Errorf("%w: memoryKnee: must not be above 1", ErrConfig)
	}
	if !(c.CacheGapRate >= 0 && c.CacheGapRate <= 1) {
		return fmt.Errorf("%w: cacheGapRate: must be within 0 to 1", ErrConfig)
	}
	return nil
}
