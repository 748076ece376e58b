package replica

import (
	"sync"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/record"
)

// pushed is a record as it travels between peers; a snapshot travels without its content.
type pushed struct {
	Offset   uint64 `json:"offset"`
	Data     []byte `json:"data,omitempty"`
	Snapshot bool   `json:"snapshot,omitempty"`
}

// recent keeps the last folded records for peers that lack them.
type recent struct {
	mu      sync.Mutex // guards records; taken before nothing else
	records []pushed
}

func (c *recent) add(rs []record.Record, verdicts []catalogue.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, v := range verdicts {
		p := pushed{Offset: v.Offset}
		if v.Outcome == catalogue.OutcomeSnapshot {
			p.Snapshot = true
		} else {
			p.Data = rs[i].Data
		}
		if last := len(c.records) - 1; last >= 0 && c.records[last].Offset+1 != p.Offset {
			c.records = nil
		}
		c.records = append(c.records, p)
	}
	if len(c.records) > maximumRecent {
		c.records = append([]pushed(nil), c.records[len(c.records)-maximumRecent:]...)
	}
}

// after returns what follows the offset, as much as fits one push; nothing if the next record is not kept or too large.
func (c *recent) after(offset uint64) []pushed {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []pushed
	size := 0
	for _, p := range c.records {
		if p.Offset <= offset {
			continue
		}
		size += len(p.Data)
		if p.Offset != offset+uint64(len(out))+1 || len(out) == maximumPushRecords || size > maximumPushBytes {
			break
		}
		out = append(out, p)
	}
	return out
}

// last returns the last record that was kept with its content.
func (c *recent) last() (pushed, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.records) - 1; i >= 0; i-- {
		if !c.records[i].Snapshot {
			return c.records[i], true
		}
	}
	return pushed{}, false
}
