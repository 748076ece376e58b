package message

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// Checked is a message whose fields have ranges.
type Checked interface {
	// Check returns an error that names the first field whose value is out of range.
	Check() error
}

// Encode encodes a message as CBOR; it returns an error if a value can't be encoded.
func Encode(m Checked) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, oops.In("message").Wrap(err)
	}
	return data, nil
}

// Decode decodes a message; it returns an error if the data is malformed or has a value out of range.
func Decode(data []byte, m Checked) error {
	if err := cbor.Unmarshal(data, m); err != nil {
		return oops.In("message").Wrap(err)
	}
	if err := m.Check(); err != nil {
		return oops.In("message").Wrap(err)
	}
	return nil
}

// Codec encodes and decodes messages, and passes on why that is not possible.
type Codec struct {
	Unreadable func(err error) // must be safe for concurrent use
}

// Encode returns an encoded message; nil if it could not be encoded.
func (c Codec) Encode(m Checked) []byte {
	data, err := Encode(m)
	if err != nil {
		c.Unreadable(err)
		return nil
	}
	return data
}

// Decode decodes a message, and reports whether that was possible.
func (c Codec) Decode(data []byte, m Checked) bool {
	if err := Decode(data, m); err != nil {
		c.Unreadable(err)
		return false
	}
	return true
}
