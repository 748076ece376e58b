package claim

import (
	"time"

	"github.com/google/uuid"

	"dogwooddyke/state/record"
)

// progress is how far a claimed call has come, as the log shows it.
type progress uint8

const (
	progressRunning   progress = iota // may run or have run
	progressSettled                   // has a result
	progressAbandoned                 // certainly did not run; the key is free
)

// held is what the log says of one key.
type held struct {
	call     uuid.UUID
	body     Digest
	at       int64 // milliseconds since the epoch
	progress progress
	offset   uint64 // of the record with the result
	data     []byte // the result; nil when it has to be read from the log
}

// effect is what one record did.
type effect uint8

const (
	effectNone    effect = iota
	effectOwn            // began a stewardship
	effectGroup          // counted
	effectVoid           // came from a writer that was not the steward at that place in the log
	effectRepeat         // a second copy of a record
	effectCorrupt        // not a record of this stream
)

// table is the fold of a partition's stream; the same records give the same table on every instance.
type table struct {
	retain   time.Duration // how long a key is held
	next     uint64        // offset to read from
	owned    bool          // the writer is known
	writer   uuid.UUID     // of the current stewardship
	sequence uint64        // of its last group
	claims   map[Digest]*held
	order    []aged   // claims from old to new
	cached   []Digest // keys whose results are in memory, from old to new
	bytes    int      // of these results
}

// aged is a claim's place in the order of expiry.
type aged struct {
	key Digest
	at  int64
}

func newTable(retain time.Duration) *table {
	return &table{retain: retain, next: 1, claims: make(map[Digest]*held)}
}

// apply folds the record at the next offset.
func (t *table) apply(r record.Record) effect {
	t.next = r.Offset + 1
	e, err := decode(r.Data)
	if err != nil {
		return effectCorrupt
	}
	if e.Kind == kindOwn {
		return t.applyOwn(e)
	}
	return t.applyGroup(e, r.Offset)
}

// applyOwn begins a stewardship if the record names the one that it ends, so that a late copy can't end a later one.
func (t *table) applyOwn(e *entry) effect {
	if t.owned && e.Previous != t.writer {
		return effectVoid
	}
	t.owned = true
	t.writer = e.Writer
	t.sequence = 0
	return effectOwn
}

func (t *table) applyGroup(e *entry, offset uint64) effect {
	if !t.owned {
		t.owned = true
		t.writer = e.Writer
	}
	if e.Writer != t.writer {
		return effectVoid
	}
	if e.Sequence <= t.sequence {
		return effectRepeat
	}
	t.sequence = e.Sequence
	for i := range e.Results {
		t.settle(&e.Results[i], offset)
	}
	for i := range e.Abandoned {
		t.abandon(&e.Abandoned[i])
	}
	for i := range e.Claims {
		t.claim(&e.Claims[i])
	}
	return effectGroup
}

// claim gives a key to a call; the first claim of a held key stands.
func (t *table) claim(c *claim) {
	if h := t.claims[c.Key]; h != nil {
		if t.holds(h, c.At) {
			return
		}
		t.bytes -= len(h.data)
	}
	t.claims[c.Key] = &held{call: c.Call, body: c.Body, at: c.At}
	t.order = append(t.order, aged{key: c.Key, at: c.At})
}

// holds reports whether a key is taken at the time.
func (t *table) holds(h *held, at int64) bool {
	return h.progress != progressAbandoned && at-h.at < t.retain.Milliseconds()
}

func (t *table) settle(r *result, offset uint64) {
	h := t.claims[r.Key]
	if h == nil || h.call != r.Call || h.progress != progressRunning {
		return
	}
	h.progress = progressSettled
	h.offset = offset
	h.data = r.Data
	t.cached = append(t.cached, r.Key)
	t.bytes += len(r.Data)
	t.evict()
}

func (t *table) abandon(a *abandoned) {
	if h := t.claims[a.Key]; h != nil && h.call == a.Call && h.progress == progressRunning {
		h.progress = progressAbandoned
	}
}

// evict drops the oldest results from memory until the rest fits.
func (t *table) evict() {
	for t.bytes > maximumCachedBytes || len(t.cached) > maximumCached {
		if h := t.claims[t.cached[0]]; h != nil {
			t.bytes -= len(h.data)
			h.data = nil
		}
		t.cached = t.cached[1:]
	}
}

// expire forgets the claims that are no longer held at the time.
func (t *table) expire(now int64) {
	for len(t.order) > 0 && now-t.order[0].at >= t.retain.Milliseconds() {
		oldest := t.order[0]
		t.order = t.order[1:]
		h := t.claims[oldest.key]
		if h == nil || h.at != oldest.at {
			continue
		}
		t.bytes -= len(h.data)
		h.data = nil
		delete(t.claims, oldest.key)
	}
}

// find returns what is held under a key at the time; nil when the key is free.
func (t *table) find(key Digest, now int64) *held {
	if h := t.claims[key]; h != nil && t.holds(h, now) {
		return h
	}
	return nil
}
