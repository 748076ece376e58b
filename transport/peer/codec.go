package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

// codec frames each JSON message with its length in 4 bytes, big endian, and refuses those over the bound.
type codec struct{}

// WriteObject writes one message.
func (codec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if len(data) > maximumMessageBytes {
		return fmt.Errorf("message of %d bytes is over the bound of %d", len(data), maximumMessageBytes)
	}
	frame := make([]byte, 4, 4+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err = stream.Write(append(frame, data...))
	return err
}

// ReadObject reads one message into the object.
func (codec) ReadObject(stream *bufio.Reader, object any) error {
	var header [4]byte
	if _, err := io.ReadFull(stream, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maximumMessageBytes {
		return fmt.Errorf("message of %d bytes is over the bound of %d", size, maximumMessageBytes)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, object)
}
