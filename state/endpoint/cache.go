package endpoint

// CacheEvent is one change of an engine's prefix cache, as reported by the engine.
type CacheEvent struct {
	Sequence uint64 // number of the event in the order of the engine
	Evicted  bool   // whether the block was evicted; otherwise it was stored
	Block    uint64 // hash of the block, as returned by Blocks
}

// Cache is a bounded estimate of the prompt blocks that an engine holds in its prefix cache.
type Cache struct {
	blocks       map[uint64]cachedBlock // by hash
	nextSequence uint64                 // sequence number expected next; zero before the first event
	gaps         uint32                 // number of gaps in the sequence so far
	clock        uint32                 // number of stores so far; the logical time by which the least recently used block is found
}

// cachedBlock is what the cache holds about one block.
type cachedBlock struct {
	gaps     uint32 // number of gaps in the events when the block was last confirmed
	lastUsed uint32 // clock of the cache when the block was last stored
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{blocks: make(map[uint64]cachedBlock)}
}

// Apply applies events, skipping those whose sequence numbers were already processed; a gap in the sequence may hide evictions, and
// therefore lowers the trust in all blocks until they are confirmed again.
func (c *Cache) Apply(events []CacheEvent) {
	for _, e := range events {
		if e.Sequence < c.nextSequence {
			continue
		}
		if c.nextSequence != 0 && e.Sequence > c.nextSequence {
			c.gaps++
		}
		c.nextSequence = e.Sequence + 1
		if e.Evicted {
			delete(c.blocks, e.Block)
			continue
		}
		c.store(e.Block)
	}
}

// Dispatched records that a prompt with these blocks was sent to the engine.
func (c *Cache) Dispatched(prefix []uint64) {
	for _, block := range prefix {
		c.store(block)
	}
}

// Clear removes all blocks; it is called when the engine has restarted with an empty cache.
func (c *Cache) Clear() {
	clear(c.blocks)
	c.nextSequence = 0
}

// Match returns the expected number of leading blocks of the prompt that the engine holds.
func (c *Cache) Match(prefix []uint64) float64 {
	total, trust := 0.0, 1.0
	for _, block := range prefix {
		b, found := c.blocks[block]
		if !found {
			break
		}
		trust = min(trust, trustAfter(c.gaps-b.gaps))
		total += trust
	}
	return total
}

// trustAfter returns the trust in a block, from 0 to 1, after the number of gaps in the events since it was confirmed.
func trustAfter(gaps uint32) float64 {
	trust := 1.0
	for range min(gaps, 16) {
		trust *= gapTrust
	}
	return trust
}

// store adds a block or confirms that the engine holds it.
func (c *Cache) store(block uint64) {
	c.clock++
	if _, found := c.blocks[block]; !found {
		c.evict()
	}
	c.blocks[block] = cachedBlock{gaps: c.gaps, lastUsed: c.clock}
}

// evict makes room for a block by removing the least recently used block of a sample.
func (c *Cache) evict() {
	if len(c.blocks) < maximumCachedBlocks {
		return
	}
	var oldest uint64
	sampled, oldestAge := 0, uint32(0)
	for block, b := range c.blocks {
		if age := c.clock - b.lastUsed; age >= oldestAge {
			oldest, oldestAge = block, age
		}
		sampled++
		if sampled == evictionSample {
			break
		}
	}
	delete(c.blocks, oldest)
}
