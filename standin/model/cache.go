package model

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// CacheEvent tells that a prompt block was stored in or evicted from the prefix cache.
type CacheEvent struct {
	Sequence uint64 // from 1
	Stored   bool   // false: evicted
	Block    uint64 // hash
	At       time.Time
}

// cache holds prompt blocks, least recently used at the back, and the events that tell of them.
type cache struct {
	capacity int
	order    *list.List // of uint64
	places   map[uint64]*list.Element
	gapRate  float64
	random   *rand.Rand
	sequence uint64
	events   []CacheEvent
}

func newCache(config *Config) *cache {
	return &cache{
		capacity: config.CacheBlocks,
		order:    list.New(),
		places:   make(map[uint64]*list.Element),
		gapRate:  config.CacheGapRate,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
	}
}

// prefix returns how many leading blocks are cached and marks them as used.
func (c *cache) prefix(blocks []uint64) int {
	for i, block := range blocks {
		place, ok := c.places[block]
		if !ok {
			return i
		}
		c.order.MoveToFront(place)
	}
	return len(blocks)
}

// store adds the blocks, evicting others where there is no room.
func (c *cache) store(blocks []uint64, now time.Time) {
	for _, block := range blocks {
		if c.capacity <= 0 {
			return
		}
		if place, ok := c.places[block]; ok {
			c.order.MoveToFront(place)
			continue
		}
		if c.order.Len() >= c.capacity {
			c.evict(now)
		}
		c.places[block] = c.order.PushFront(block)
		c.tell(block, true, now)
	}
}

func (c *cache) evict(now time.Time) {
	oldest := c.order.Back()
	block, _ := c.order.Remove(oldest).(uint64)
	delete(c.places, block)
	c.tell(block, false, now)
}

// tell records an event, or only counts it where it falls into a gap.
func (c *cache) tell(block uint64, stored bool, now time.Time) {
	c.sequence++
	if c.gapRate > 0 && c.random.Float64() < c.gapRate {
		return
	}
	if len(c.events) >= 2*maximumCacheEvents {
		c.events = append(c.events[:0], c.events[maximumCacheEvents:]...)
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Stored: stored, Block: block, At: now})
}

// since returns the events after the sequence number that are not younger than the time given.
func (c *cache) since(after uint64, latest time.Time) []CacheEvent {
	var told []CacheEvent
	for _, e := range c.events {
		if e.At.After(latest) {
			break
		}
		if e.Sequence > after {
			told = append(told, e)
		}
	}
	return told
}
