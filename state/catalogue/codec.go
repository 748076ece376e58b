package catalogue

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// ErrUnreadable reports a record that is too large, does not decode, or does not hold exactly one of a change and a snapshot.
var ErrUnreadable = errors.New("record unreadable")

// Record is one record of the catalogue's stream; it holds either a change or a snapshot, never both.
type Record struct {
	Change   *Change   `cbor:"change,omitempty"`
	Snapshot *Snapshot `cbor:"snapshot,omitempty"`
}

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   16,
		MaxArrayElements:  MaximumEndpoints + MaximumWorkspaces,
		MaxMapPairs:       64,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the record in deterministic CBOR.
func Encode(r Record) ([]byte, error) {
	return encoder.Marshal(r)
}

// Decode decodes a record; the error wraps ErrUnreadable.
func Decode(data []byte) (Record, error) {
	if len(data) > MaximumRecordBytes {
		return Record{}, ErrUnreadable
	}
	var r Record
	if err := decoder.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Join(ErrUnreadable, err)
	}
	if (r.Change == nil) == (r.Snapshot == nil) {
		return Record{}, ErrUnreadable
	}
	return r, nil
}
