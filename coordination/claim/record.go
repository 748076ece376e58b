package claim

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/samber/oops"
)

// errRecord reports a record that is not one of a claims stream.
var errRecord = errors.New("malformed claims record")

// kind tells what a record does.
type kind uint8

// The kinds of record.
const (
	kindOwn   kind = 1 // begins a stewardship
	kindGroup kind = 2 // carries claims, results and abandoned claims
)

// entry is one record of a partition's stream.
type entry struct {
	_         struct{}  `cbor:",toarray"`
	Kind      kind      // own or group
	Writer    uuid.UUID // of the stewardship
	Previous  uuid.UUID // own: the stewardship that it ends
	Sequence  uint64    // group: number within the stewardship, from 1
	At        int64     // milliseconds since the epoch
	Results   []result
	Abandoned []abandoned
	Claims    []claim
}

// claim gives a key to one call.
type claim struct {
	_    struct{}  `cbor:",toarray"`
	Key  Digest    // of the workspace, entry and key
	Call uuid.UUID // the one call that may run
	Body Digest    // of the request
	At   int64     // milliseconds since the epoch
}

// result is what a claimed call came to.
type result struct {
	_    struct{} `cbor:",toarray"`
	Key  Digest
	Call uuid.UUID
	Data []byte
}

// abandoned frees the key of a call that certainly did not run.
type abandoned struct {
	_    struct{} `cbor:",toarray"`
	Key  Digest
	Call uuid.UUID
}

// recordModes bounds what a record may hold.
var recordModes = cbor.DecOptions{
	MaxArrayElements: maximumGroupClaims + maximumResults,
	MaxNestedLevels:  8,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
}

var recordDecoding = func() cbor.DecMode {
	mode, err := recordModes.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(e *entry) ([]byte, error) {
	data, err := cbor.Marshal(e)
	return data, oops.Wrapf(err, "encode claims record")
}

func decode(data []byte) (*entry, error) {
	e := &entry{}
	if err := recordDecoding.Unmarshal(data, e); err != nil {
		return nil, errors.Join(errRecord, err)
	}
	if e.Kind != kindOwn && e.Kind != kindGroup {
		return nil, errRecord
	}
	return e, nil
}
