package lease

import "net/netip"

// Fold tells from the records alone who holds a lease; the latest take in the log's order does, whatever clocks say.
type Fold struct {
	Offset   uint64 // last folded record
	Fence    uint64 // offset of the latest take
	Holder   netip.AddrPort
	Released bool

	Catalogue uint64 // latest offset that any holder's orders went by
}

// Apply folds a record and tells whether it counts.
func (f *Fold) Apply(offset uint64, r Record) bool {
	if offset <= f.Offset {
		return false
	}
	f.Offset = offset
	counts := f.apply(offset, r)
	if counts {
		f.Catalogue = max(f.Catalogue, r.Catalogue)
	}
	return counts
}

func (f *Fold) apply(offset uint64, r Record) bool {
	switch {
	case r.Kind == KindTake:
		f.Fence, f.Holder, f.Released = offset, r.Holder, false
		return true
	case r.Fence > f.Fence && r.Fence < offset:
		// The take lies before what this fold has read; no void record can name a later one.
		f.Fence, f.Holder, f.Released = r.Fence, r.Holder, r.Kind == KindRelease
		return true
	case r.Fence != f.Fence || r.Holder != f.Holder || f.Released:
		return false
	case r.Kind == KindRelease:
		f.Released = true
	}
	return true
}
