package share

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// Requests and replies travel as CBOR with numbered fields inside a JSON string: asks come many times a second, and as JSON
// objects they were most of what instances send each other. Times are exact to a microsecond. A field that is added takes the
// next number.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: 8, MaxArrayElements: maximumAsks, MaxMapPairs: 64,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// MarshalJSON returns the request as a string.
func (r Request) MarshalJSON() ([]byte, error) {
	type plain Request
	return pack(plain(r))
}

// UnmarshalJSON reads what MarshalJSON returned.
func (r *Request) UnmarshalJSON(data []byte) error {
	type plain Request
	return unpack(data, (*plain)(r))
}

// MarshalJSON returns the reply as a string.
func (r Reply) MarshalJSON() ([]byte, error) {
	type plain Reply
	return pack(plain(r))
}

// UnmarshalJSON reads what MarshalJSON returned.
func (r *Reply) UnmarshalJSON(data []byte) error {
	type plain Reply
	return unpack(data, (*plain)(r))
}

func pack(message any) ([]byte, error) {
	data, err := encoder.Marshal(message)
	if err != nil {
		return nil, err
	}
	return json.Marshal(data)
}

func unpack(text []byte, message any) error {
	var data []byte
	if err := json.Unmarshal(text, &data); err != nil {
		return err
	}
	return decoder.Unmarshal(data, message)
}
