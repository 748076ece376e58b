package call

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// kept is what the log has of a call that ran, for repeats of its key.
type kept struct {
	_      struct{}    `cbor:",toarray"`
	Reason Reason      // why the response is not here; empty: it is
	Status int         // zero: no response came
	Header http.Header // of the response
	Body   []byte
}

// encode returns the form that goes into the log; headers that are too large are left out.
func (k *kept) encode() ([]byte, error) {
	size := 0
	for name, values := range k.Header {
		for _, value := range values {
			size += len(name) + len(value) + 8
		}
	}
	if size > maximumKeptHeaderBytes {
		k.Header = http.Header{"Content-Type": k.Header["Content-Type"]}
	}
	data, err := cbor.Marshal(k)
	return data, oops.Wrapf(err, "keep response")
}

func decodeKept(data []byte) (*kept, error) {
	k := &kept{}
	if err := cbor.Unmarshal(data, k); err != nil {
		return nil, oops.Wrapf(err, "kept response")
	}
	if k.Reason == ReasonNone && (k.Status < 100 || k.Status > 999) {
		return nil, oops.Errorf("kept response: status %d", k.Status)
	}
	return k, nil
}
