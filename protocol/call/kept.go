package call

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// kept is what the log stores of a call that ran, so that it can be replayed to later calls with the same key.
type kept struct {
	_      struct{}    `cbor:",toarray"`
	Reason Reason      // why the response is not stored; empty if it is
	Status int         // HTTP status of the response; zero if none came
	Header http.Header // headers of the response, without the hop-by-hop ones
	Body   []byte      // body of the response
}

// encode returns the CBOR encoding that is stored in the log. If the headers are too large, only Content-Type is stored.
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
	return data, oops.Wrapf(err, "encode response for the log")
}

// decodeKept decodes and validates what encode returned.
func decodeKept(data []byte) (*kept, error) {
	k := &kept{}
	if err := cbor.Unmarshal(data, k); err != nil {
		return nil, oops.Wrapf(err, "decode response from the log")
	}
	if k.Reason == ReasonNone && (k.Status < 100 || k.Status > 999) {
		return nil, oops.Errorf("response from the log has invalid status %d", k.Status)
	}
	return k, nil
}
