package endpoint

// CacheEvent is one change of an engine's prefix cache, as the engine told it.
type CacheEvent struct {
	Sequence uint64
	Evicted  bool // else stored
	Block    uint64
}

// Cache is a bounded guess at the prompt blocks that an engine holds.
type Cache struct {
	blocks map[uint64]cached
	next   uint64 // sequence expected
	gaps   uint32
	clock  uint32
}

type cached struct {
	gaps uint32 // as they were when the block was last confirmed
	used uint32
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{blocks: make(map[uint64]cached)}
}

// Apply takes in events; a gap in their sequence lowers the trust in all blocks that are not confirmed again.
func (c *Cache) Apply(events []CacheEvent) {
	for _, e := range events {
		if e.Sequence < c.next {
			continue
		}
		if c.next != 0 && e.Sequence > c.next {
			c.gaps++
		}
		c.next = e.Sequence + 1
		if e.Evicted {
			delete(c.blocks, e.Block)
			continue
		}
		c.store(e.Block)
	}
}

// Dispatched notes that a prompt with these blocks was sent to the engine.
func (c *Cache) Dispatched(prefix []uint64) {
	for _, block := range prefix {
		c.store(block)
	}
}

// Clear forgets all blocks, as after the engine's restart.
func (c *Cache) Clear() {
	clear(c.blocks)
	c.next = 0
}

// Match gives the leading blocks of the prompt that the engine is expected to hold.
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

func trustAfter(gaps uint32) float64 {
	trust := 1.0
	for range min(gaps, 16) {
		trust *= gapFactor
	}
	return trust
}

func (c *Cache) store(block uint64) {
	c.clock++
	if _, found := c.blocks[block]; !found {
		c.evict()
	}
	c.blocks[block] = cached{gaps: c.gaps, used: c.clock}
}

func (c *Cache) evict() {
	if len(c.blocks) < maximumBlocks {
		return
	}
	var oldest uint64
	seen, most := 0, uint32(0)
	for block, b := range c.blocks {
		if age := c.clock - b.used; age >= most {
			oldest, most = block, age
		}
		seen++
		if seen == evictionSample {
			break
		}
	}
	delete(c.blocks, oldest)
}
