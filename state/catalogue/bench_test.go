package catalogue

import (
	"fmt"
	"net/netip"
	"testing"

	"dogwooddyke/state/record"
)

// Size of the catalogue that the design has to support.
const (
	benchEntries    = 99 // 33 models in 3 regions
	benchEndpoints  = 46 // endpoints of each entry
	benchWorkspaces = 1400
)

func benchTable(b *testing.B) *Table {
	b.Helper()
	t := NewTable(Rules{SnapshotKey: []byte("key")})
	for i := range benchEntries {
		applyChange(b, t, &Change{Entry: benchEntry(i, "1")})
	}
	for i := range benchWorkspaces {
		name := fmt.Sprint("workspace", i)
		hashes := []string{HashKey(name), HashKey(name + "'")}
		applyChange(b, t, &Change{Workspace: &Workspace{Name: name, Owner: "o", KeyHashes: hashes}})
	}
	return t
}

func benchEntry(i int, version string) *Entry {
	e := testEntry(fmt.Sprint("entry", i), "o")
	e.Version, e.Endpoints = version, nil
	for j := range benchEndpoints {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i), byte(j)}), 9000)
		e.Endpoints = append(e.Endpoints, Endpoint{Address: a, DataCentre: "lulea-a"})
	}
	return e
}

func applyChange(b *testing.B, t *Table, c *Change) {
	b.Helper()
	view := t.View()
	subject, _ := c.Subject()
	c.Operator, c.Seen, c.Base = "o", view.Offset, view.RevisionOf(subject)
	c.ID = fmt.Sprint("c", view.Offset)
	r := encodeRecords(b, view.Offset+1, Record{Change: c})
	if verdicts, err := t.ApplyAll(r); err != nil || verdicts[0].Refused() {
		b.Fatal(err, verdicts)
	}
}

func BenchmarkApply(b *testing.B) {
	t := benchTable(b)
	for i := range b.N {
		applyChange(b, t, &Change{Entry: benchEntry(i%benchEntries, fmt.Sprint(i))})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	t := benchTable(b)
	size := 0
	for range b.N {
		s, err := t.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(encode(b, Record{Snapshot: s}))
	}
	b.ReportMetric(float64(size), "bytes")
}

func BenchmarkRestore(b *testing.B) {
	s, err := benchTable(b).Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	data := encode(b, Record{Snapshot: s})
	for range b.N {
		r, err := Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		if err := NewTable(Rules{SnapshotKey: []byte("key")}).Restore(r.Snapshot); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkWorkspaceByKey(b *testing.B) {
	t := benchTable(b)
	hash := decodeKeyHash(HashKey("workspace700"))
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if _, ok := t.View().WorkspaceByKey(hash); !ok {
				b.Fail()
			}
		}
	})
}

func encodeRecords(b *testing.B, offset uint64, r Record) []record.Record {
	b.Helper()
	return []record.Record{{Offset: offset, Data: encode(b, r)}}
}
