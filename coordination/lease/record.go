package lease

import (
	"errors"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
)

// ErrUnreadable reports a record that is none of a lease.
var ErrUnreadable = errors.New("lease record unreadable")

// Kind names what a record does.
type Kind string

// The kinds of record.
const (
	KindTake    Kind = "take"    // the lease is the holder's from here on; the record's offset is the fencing number
	KindRenew   Kind = "renew"   // counts if its fence is the latest take's offset
	KindRelease Kind = "release" // the holder gives no more orders; counts like a renewal
)

// Record is one record of a lease; one covers all entries of its partition.
type Record struct {
	Kind     Kind           `cbor:"kind"`
	Holder   netip.AddrPort `cbor:"holder"`
	Fence    uint64         `cbor:"fence,omitempty"`
	Sequence uint64         `cbor:"sequence"` // of the holder's records, to know one's own again

	Catalogue uint64 `cbor:"catalogue,omitempty"` // offset that the holder's orders go by
}

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   4,
		MaxArrayElements:  16,
		MaxMapPairs:       16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the record's CBOR.
func Encode(r Record) ([]byte, error) { return cbor.Marshal(r) }

// Decode reads a record; the error wraps ErrUnreadable.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) > maximumRecord {
		return r, ErrUnreadable
	}
	if err := decoder.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Join(ErrUnreadable, err)
	}
	switch r.Kind {
	case KindTake, KindRenew, KindRelease:
		return r, nil
	}
	return Record{}, ErrUnreadable
}
