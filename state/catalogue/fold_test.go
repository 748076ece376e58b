package catalogue

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testChangeLimit = 6

// sequentialModel is a reference model of the fold that keeps all accepted changes and has no snapshots.
type sequentialModel struct {
	current  map[string]uint64
	owners   map[string]string
	accepted []Verdict
}

func (n *sequentialModel) apply(offset uint64, c *Change) Outcome {
	subject, _ := c.Subject()
	horizon := uint64(0)
	if older := len(n.accepted) - testChangeLimit; older > 0 {
		horizon = n.accepted[older-1].Offset
	}
	for _, a := range n.accepted {
		if a.Change == c.ID && a.Offset > horizon {
			return OutcomeRepeated
		}
	}
	switch revision := n.current[subject.Name]; {
	case c.Seen < horizon:
		return OutcomeStale
	case c.Base != revision || (revision == 0 && c.Removal != nil):
		return OutcomeConflict
	case revision == 0 && c.owner() != c.Operator, revision > 0 && n.owners[subject.Name] != c.Operator:
		return OutcomeNotOwner
	}
	if c.Removal != nil {
		delete(n.current, subject.Name)
	} else {
		n.current[subject.Name], n.owners[subject.Name] = offset, c.owner()
	}
	n.accepted = append(n.accepted, Verdict{Offset: offset, Change: c.ID})
	return OutcomeAccepted
}

func testEntry(name, owner string) *Entry {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 1)
	return &Entry{
		Name: name, Owner: owner, Kind: KindEngine, Class: "c", Model: "m", Version: "1",
		Endpoints: []Endpoint{{Address: address, DataCentre: "a"}},
	}
}

func encode(t interface{ Fatal(...any) }, r Record) []byte {
	data, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// drawRecord draws the next record: a new change by an operator whose view of the log may be old, the repeat of an earlier change,
// or a snapshot that may be stale.
func drawRecord(t *rapid.T, changes *[]*Change, head uint64, snapshots []*Snapshot) Record {
	pick := rapid.IntRange(0, 9).Draw(t, "pick")
	if pick == 0 && len(snapshots) > 0 {
		return Record{Snapshot: rapid.SampledFrom(snapshots).Draw(t, "snapshot")}
	}
	if pick <= 3 && len(*changes) > 0 {
		return Record{Change: rapid.SampledFrom(*changes).Draw(t, "repeat")}
	}
	operator := rapid.SampledFrom([]string{"islaget", "gyeongsan"}).Draw(t, "operator")
	owner := rapid.SampledFrom([]string{operator, operator, "gyeongsan"}).Draw(t, "owner")
	name := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")
	c := &Change{ID: fmt.Sprint("id", len(*changes)), Operator: operator}
	c.Seen = head - rapid.Uint64Range(0, min(head, 12)).Draw(t, "age")
	if revision := revisionAt(snapshots, c.Seen, name); rapid.IntRange(0, 4).Draw(t, "guess") > 0 {
		c.Base = revision
	}
	if rapid.IntRange(0, 5).Draw(t, "removal") == 0 {
		c.Removal = &Subject{Kind: SubjectEntry, Name: name}
	} else {
		c.Entry = testEntry(name, owner)
	}
	*changes = append(*changes, c)
	return Record{Change: c}
}

// revisionAt returns the entry's revision as seen by an operator that has read the log up to the offset.
func revisionAt(snapshots []*Snapshot, seen uint64, name string) uint64 {
	if seen == 0 {
		return 0
	}
	for _, e := range snapshots[seen-1].Entries {
		if e.Entry.Name == name {
			return e.Revision
		}
	}
	return 0
}

func newTestFold() *Fold {
	f := NewFold(Rules{SnapshotKey: []byte("key")})
	f.changeLimit = testChangeLimit
	return f
}

// TestFoldMatchesModel checks that the fold decides as the sequential model does, and that a fold restored from a snapshot at any
// offset ends in the same state as one that applied all records.
func TestFoldMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fold, model := newTestFold(), &sequentialModel{current: map[string]uint64{}, owners: map[string]string{}}
		var changes []*Change
		var snapshots []*Snapshot
		var records [][]byte
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			r := drawRecord(t, &changes, fold.Offset(), snapshots)
			records = append(records, encode(t, r))
			offset := fold.Offset() + 1
			v, err := fold.Apply(offset, records[offset-1])
			if err != nil {
				t.Fatal(err)
			}
			if r.Change != nil {
				if want := model.apply(offset, r.Change); v.Outcome != want {
					t.Fatalf("record %d: %s %q, want %s", offset, v.Outcome, v.Reason, want)
				}
			}
			s := fold.Snapshot()
			if err := s.Authenticate([]byte("key")); err != nil {
				t.Fatal(err)
			}
			snapshots = append(snapshots, s)
		}
		restored := newTestFold()
		from := rapid.IntRange(0, len(records)-1).Draw(t, "start")
		if from > 0 {
			x, err := Decode(encode(t, Record{Snapshot: snapshots[from-1]}))
			if err != nil {
				t.Fatal(err)
			}
			if err := restored.Restore(x.Snapshot); err != nil {
				t.Fatal(err)
			}
		}
		for i := from; i < len(records); i++ {
			if _, err := restored.Apply(uint64(i+1), records[i]); err != nil {
				t.Fatal(err)
			}
		}
		one, other := encode(t, Record{Snapshot: fold.Snapshot()}), encode(t, Record{Snapshot: restored.Snapshot()})
		if string(one) != string(other) {
			t.Fatal("a fold restored from a snapshot has another state")
		}
	})
}

func TestFold(t *testing.T) {
	public, private, _ := ed25519.GenerateKey(nil)
	other := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	signed := func(key ed25519.PrivateKey, base uint64) *Change {
		c := &Change{ID: fmt.Sprint("id", base), Operator: "islaget", Base: base, Seen: base, Entry: testEntry("x", "islaget")}
		if err := c.Sign(key); err != nil {
			t.Fatal(err)
		}
		return c
	}
	t.Run("signatures", func(t *testing.T) {
		is := is.New(t)
		f := NewFold(Rules{Operators: map[string]ed25519.PublicKey{"islaget": public}})
		forged := signed(private, 0)
		forged.Entry.Priority = 3
		for i, c := range []*Change{signed(other, 0), forged, signed(private, 0)} {
			_, err := f.Apply(uint64(i+1), encode(t, Record{Change: c}))
			is.NoErr(err)
		}
		history := f.Snapshot().History
		is.Equal(history[0].Outcome, OutcomeUnsigned)
		is.Equal(history[1].Outcome, OutcomeUnsigned)
		is.Equal(history[2].Outcome, OutcomeAccepted)
		is.Equal(f.Snapshot().Refused, uint64(2))
	})
	t.Run("invalidAndUnreadable", func(t *testing.T) {
		is := is.New(t)
		f := newTestFold()
		bad := &Change{ID: "a", Operator: "islaget", Entry: &Entry{Name: "x"}}
		v, err := f.Apply(1, encode(t, Record{Change: bad}))
		is.NoErr(err)
		is.Equal(v.Outcome, OutcomeInvalid)
		v, err = f.Apply(2, []byte("junk"))
		is.NoErr(err)
		is.Equal(v.Outcome, OutcomeUnreadable)
	})
	t.Run("truncatedTextDecodes", func(t *testing.T) {
		is := is.New(t)
		f := newTestFold()
		_, err := f.Apply(1, encode(t, Record{Change: &Change{ID: "a" + strings.Repeat("ä", maximumReasonBytes)}}))
		is.NoErr(err)
		_, err = Decode(encode(t, Record{Snapshot: f.Snapshot()}))
		is.NoErr(err)
	})
	t.Run("keyOfAnotherWorkspace", func(t *testing.T) {
		is := is.New(t)
		f := newTestFold()
		for i, want := range []Outcome{OutcomeAccepted, OutcomeInvalid} {
			name := fmt.Sprint("w", i)
			w := &Workspace{Name: name, Owner: "o", KeyHashes: []string{HashKey("k")}}
			v, err := f.Apply(uint64(i+1), encode(t, Record{Change: &Change{ID: name, Operator: "o", Workspace: w}}))
			is.NoErr(err)
			is.Equal(v.Outcome, want)
		}
	})
	t.Run("engineOfAnotherEntry", func(t *testing.T) {
		is := is.New(t)
		f := newTestFold()
		first, second := testEntry("x", "o"), testEntry("y", "o")
		second.Endpoints = first.Endpoints
		for i, e := range []*Entry{first, second} {
			_, err := f.Apply(uint64(i+1), encode(t, Record{Change: &Change{ID: e.Name, Operator: "o", Seen: uint64(i), Entry: e}}))
			is.NoErr(err)
		}
		is.Equal(f.Snapshot().History[1].Outcome, OutcomeInvalid)
		removal := &Change{ID: "r", Operator: "o", Base: 1, Seen: 2, Removal: &Subject{Kind: SubjectEntry, Name: "x"}}
		for i, c := range []*Change{removal, {ID: "z", Operator: "o", Seen: 3, Entry: second}} {
			v, err := f.Apply(uint64(i+3), encode(t, Record{Change: c}))
			is.NoErr(err)
			is.Equal(v.Outcome, OutcomeAccepted)
		}
	})
	t.Run("gapsAndStaleSnapshots", func(t *testing.T) {
		is := is.New(t)
		f := newTestFold()
		_, err := f.Apply(2, nil)
		is.True(errors.Is(err, ErrGap))
		old := f.Snapshot()
		is.True(errors.Is(f.Restore(old), ErrStaleSnapshot))
		old.Covers = 9
		is.True(errors.Is(f.Restore(old), ErrInvalidSnapshot))
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(encode(f, Record{Change: &Change{ID: "a", Operator: "b", Entry: testEntry("x", "b")}}))
	f.Add(encode(f, Record{Snapshot: newTestFold().Snapshot()}))
	f.Add([]byte{0xa1, 0x66})
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := NewFold(Rules{})
		if _, err := fold.Apply(1, data); err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(encode(t, Record{Snapshot: fold.Snapshot()})); err != nil {
			t.Fatalf("the snapshot after the record does not decode: %v", err)
		}
		r, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(encode(t, r))
		if err != nil {
			t.Fatalf("own encoding does not decode: %v", err)
		}
		if r.Snapshot != nil && fold.Restore(again.Snapshot) == nil {
			if _, err := Decode(encode(t, Record{Snapshot: fold.Snapshot()})); err != nil {
				t.Fatal(err)
			}
		}
	})
}
