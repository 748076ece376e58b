package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// errEventSize reports an event that is larger than the bound.
var errEventSize = errors.New("event too large")

var dataField = []byte("data")

// events reads the data of server-sent events, whose lines end in LF or CRLF; comments and other fields are passed over.
// It keeps one small buffer for each stream, where a library's iterator keeps a coroutine as well.
type events struct {
	reader *bufio.Reader
	data   []byte // of the event that is being read, with an LF after each line
	size   int    // bytes of the event so far
}

func newEvents(body io.Reader) *events {
	return &events{reader: bufio.NewReaderSize(body, eventBufferBytes)}
}

// next returns the data of the next event that has any; an event that the stream's end cuts off is none.
func (e *events) next() (string, error) {
	e.data, e.size = e.data[:0], 0
	for {
		line, err := e.line()
		if err != nil {
			return "", err
		}
		if len(line) > 0 {
			e.field(line)
			continue
		}
		if data := bytes.TrimSuffix(e.data, []byte("\n")); len(data) > 0 {
			return string(data), nil
		}
		e.data, e.size = e.data[:0], 0
	}
}

// line returns the next line without its end; it is valid until the next call.
func (e *events) line() ([]byte, error) {
	var whole []byte
	for {
		part, err := e.reader.ReadSlice('\n')
		e.size += len(part)
		if e.size > maximumEventBytes {
			return nil, errEventSize
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			whole = append(whole, part...)
			continue
		}
		if err != nil {
			return nil, unexpected(err)
		}
		if whole != nil {
			part = append(whole, part...)
		}
		return bytes.TrimSuffix(part[:len(part)-1], []byte("\r")), nil
	}
}

// field takes a line's value if it is data.
func (e *events) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !bytes.Equal(name, dataField) {
		return
	}
	e.data = append(e.data, bytes.TrimPrefix(value, []byte(" "))...)
	e.data = append(e.data, '\n')
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
