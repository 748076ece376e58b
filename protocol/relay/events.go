package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

var errEventSize = errors.New("event of the stream exceeds the size limit")

// event is one complete server-sent event of a stream, as the endpoint sent it.
type event struct {
	data    []byte // with the empty line at the end; valid until the next event is read
	id      int64  // value of the id field; valid if hasID is set
	hasID   bool
	comment bool // it has no lines but comments, and so is no event
}

// eventReader reads a stream event by event, so that no event is forwarded in part.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte // the event that is being read

	unnumbered int // bytes of events without an id since the latest one with an id
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferBytes)}
}

// next returns the next complete event, or io.EOF if the stream ended after a complete event.
func (e *eventReader) next() (event, error) {
	e.buffer = e.buffer[:0]
	found := event{comment: true}
	for {
		begin := len(e.buffer)
		if err := e.readLine(); err != nil {
			if errors.Is(err, io.EOF) && len(e.buffer) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event{}, err
		}
		line := bytes.TrimRight(e.buffer[begin:], "\r\n")
		if len(line) == 0 {
			found.data = e.buffer
			return found, e.checkNumbered(found)
		}
		found.comment = found.comment && line[0] == ':'
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			found.id, found.hasID = id, err == nil
		}
	}
}

// readLine appends the next line of the stream to the buffer.
func (e *eventReader) readLine() error {
	for {
		part, err := e.reader.ReadSlice('\n')
		e.buffer = append(e.buffer, part...)
		if len(e.buffer) > maximumEventBytes {
			return errEventSize
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// checkNumbered returns an error if events without an id go on for too long: a stream's events are numbered, so these are no answer.
func (e *eventReader) checkNumbered(found event) error {
	if found.hasID {
		e.unnumbered = 0
		return nil
	}
	if e.unnumbered += len(found.data); e.unnumbered > maximumEventBytes {
		return errEventSize
	}
	return nil
}

// numbering is the numbers of the events of one answer of an endpoint, which rise by one.
type numbering struct {
	latest int64
	begun  bool
}

// follows reports whether an event may come next.
func (n *numbering) follows(e event) bool {
	if !e.hasID {
		return true
	}
	follows := !n.begun || e.id == n.latest+1
	n.latest, n.begun = e.id, true
	return follows
}
