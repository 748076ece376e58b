package claim

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"dogwooddyke/state/record"
)

// naiveHolder says who holds a key, from the whole history: one list, no state between questions.
func naiveHolder(history []*entry, key Digest, retain int64) (call uuid.UUID, data []byte, settled, held bool) {
	var writer uuid.UUID
	var sequence, at int64
	owned := false
	for _, e := range history {
		if e.Kind == kindOwn {
			if !owned || e.Previous == writer {
				owned, writer, sequence = true, e.Writer, 0
			}
			continue
		}
		if !owned {
			owned, writer = true, e.Writer
		}
		if e.Writer != writer || int64(e.Sequence) <= sequence {
			continue
		}
		sequence = int64(e.Sequence)
		for _, r := range e.Results {
			if r.Key == key && held && r.Call == call && !settled {
				settled, data = true, r.Data
			}
		}
		for _, a := range e.Abandoned {
			if a.Key == key && held && a.Call == call && !settled {
				held = false
			}
		}
		for _, c := range e.Claims {
			if c.Key == key && (!held || c.At-at >= retain) {
				call, data, at, settled, held = c.Call, nil, c.At, false, true
			}
		}
	}
	return call, data, settled, held
}

func drawEntry(t *rapid.T, at int64) *entry {
	writer := func(label string) uuid.UUID { return testCall(rapid.IntRange(0, 2).Draw(t, label)) }
	key := func() Digest { return Digest{byte(rapid.IntRange(0, 2).Draw(t, "key"))} }
	call := func() uuid.UUID { return testCall(rapid.IntRange(10, 14).Draw(t, "call")) }
	if rapid.IntRange(0, 4).Draw(t, "own") == 0 {
		return &entry{Kind: kindOwn, Writer: writer("writer"), Previous: writer("previous"), At: at}
	}
	e := &entry{Kind: kindGroup, Writer: writer("writer"), Sequence: uint64(rapid.IntRange(1, 6).Draw(t, "sequence")), At: at}
	for range rapid.IntRange(0, 2).Draw(t, "results") {
		e.Results = append(e.Results, result{Key: key(), Call: call(), Data: []byte(rapid.StringN(0, 2, -1).Draw(t, "data"))})
	}
	for range rapid.IntRange(0, 1).Draw(t, "abandoned") {
		e.Abandoned = append(e.Abandoned, abandoned{Key: key(), Call: call()})
	}
	for range rapid.IntRange(0, 3).Draw(t, "claims") {
		e.Claims = append(e.Claims, claim{Key: key(), Call: call(), Body: testBody, At: at})
	}
	return e
}

func TestTableAgainstNaive(t *testing.T) {
	retain := time.Minute
	rapid.Check(t, func(t *rapid.T) {
		folded := newTable(retain)
		var history []*entry
		at := int64(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "records") {
			at += int64(rapid.IntRange(0, 20_000).Draw(t, "passed"))
			e := drawEntry(t, at)
			data, err := encode(e)
			if err != nil {
				t.Fatal(err)
			}
			history = append(history, e)
			folded.apply(record.Record{Offset: uint64(i + 1), Data: data})
			if rapid.Bool().Draw(t, "expire") {
				folded.expire(at)
			}
			for k := range byte(3) {
				compareHolder(t, folded, history, Digest{k}, at, retain.Milliseconds())
			}
		}
	})
}

func compareHolder(t *rapid.T, folded *table, history []*entry, key Digest, at, retain int64) {
	call, data, settled, isHeld := naiveHolder(history, key, retain)
	h := folded.find(key, at)
	if h == nil {
		if isHeld && !expired(history, key, call, at, retain) {
			t.Fatalf("key %v is free, naive: held by %v", key, call)
		}
		return
	}
	if !isHeld || h.call != call || (h.progress == progressSettled) != settled || !bytes.Equal(h.data, data) {
		t.Fatalf("key %v: %+v, naive: %v %v %v", key, h, isHeld, call, settled)
	}
}

// expired reports whether the last claim of the key by the call is past retention.
func expired(history []*entry, key Digest, call uuid.UUID, at, retain int64) bool {
	last := int64(0)
	for _, e := range history {
		for _, c := range e.Claims {
			if c.Key == key && c.Call == call {
				last = c.At
			}
		}
	}
	return at-last >= retain || first(history, key, call, at, retain)
}

// first reports whether the earliest claim of the key by the call is past retention, for later ones may not count.
func first(history []*entry, key Digest, call uuid.UUID, at, retain int64) bool {
	for _, e := range history {
		for _, c := range e.Claims {
			if c.Key == key && c.Call == call {
				return at-c.At >= retain
			}
		}
	}
	return false
}

func TestBoundedResults(t *testing.T) {
	folded := newTable(time.Hour)
	writer := testCall(1)
	for i := range 2 * maximumCachedBytes / MaximumResultBytes {
		key := NewKey("w", "e", numbered("k", i))
		e := &entry{Kind: kindGroup, Writer: writer, Sequence: uint64(i + 1)}
		e.Claims = []claim{{Key: key, Call: testCall(2)}}
		folded.applyGroup(e, 1)
		e = &entry{Kind: kindGroup, Writer: writer, Sequence: uint64(i + 1)}
		folded.sequence = 0
		e.Results = []result{{Key: key, Call: testCall(2), Data: make([]byte, MaximumResultBytes)}}
		folded.applyGroup(e, 1)
	}
	total := 0
	for _, h := range folded.claims {
		total += len(h.data)
	}
	if total != folded.bytes || total > maximumCachedBytes || total == 0 {
		t.Fatalf("%d bytes in memory, counted %d", total, folded.bytes)
	}
}

func FuzzTable(f *testing.F) {
	e := &entry{Kind: kindGroup, Writer: testCall(1), Sequence: 1, Claims: []claim{{Key: Digest{1}, Call: testCall(2), Body: testBody}}}
	data, err := encode(e)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0x88, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		folded := newTable(time.Hour)
		done := folded.apply(record.Record{Offset: 1, Data: data})
		if folded.next != 2 {
			t.Fatal("the record was not passed")
		}
		if done == effectCorrupt && len(folded.claims) > 0 {
			t.Fatal("a malformed record had an effect")
		}
		again, err := decode(data)
		if (err != nil) != (done == effectCorrupt) {
			t.Fatalf("decode: %v, effect %d", err, done)
		}
		if err == nil {
			if _, err := encode(again); err != nil {
				t.Fatal(err)
			}
		}
	})
}
