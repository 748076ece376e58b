package share

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// Requests and replies are encoded as CBOR with numbered fields inside a JSON string. They are sent many times a second, and as JSON
// objects they made up most of the traffic between instances. Times are encoded with microsecond resolution. A new field takes the
// next free number.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder returns the CBOR encoder; it panics if its options are invalid.
func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newDecoder returns the CBOR decoder, which limits the size and depth of a message; it panics if its options are invalid.
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

// MarshalJSON encodes the request as a JSON string.
func (r Request) MarshalJSON() ([]byte, error) {
	type fields Request
	return encodeString(fields(r))
}

// UnmarshalJSON decodes a request that MarshalJSON encoded; it returns an error if the data is malformed.
func (r *Request) UnmarshalJSON(data []byte) error {
	type fields Request
	return decodeString(data, (*fields)(r))
}

// MarshalJSON encodes the reply as a JSON string.
func (r Reply) MarshalJSON() ([]byte, error) {
	type fields Reply
	return encodeString(fields(r))
}

// UnmarshalJSON decodes a reply that MarshalJSON encoded; it returns an error if the data is malformed.
func (r *Reply) UnmarshalJSON(data []byte) error {
	type fields Reply
	return decodeString(data, (*fields)(r))
}

// encodeString encodes a message as CBOR and returns it as a JSON string.
func encodeString(message any) ([]byte, error) {
	data, err := encoder.Marshal(message)
	if err != nil {
		return nil, err
	}
	return json.Marshal(data)
}

// decodeString decodes a message from CBOR in a JSON string.
func decodeString(text []byte, message any) error {
	var data []byte
	if err := json.Unmarshal(text, &data); err != nil {
		return err
	}
	return decoder.Unmarshal(data, message)
}
