package record

import (
	"context"
	"errors"
	"time"
)

// ErrOutcomeUnknown reports an append whose acknowledgement was lost, so that the record may or may not be in the stream.
var ErrOutcomeUnknown = errors.New("append outcome unknown")

// ErrUnavailable reports an append or read that the log certainly did not carry out.
var ErrUnavailable = errors.New("log unavailable")

// Record is one record in a stream of the platform's log.
type Record struct {
	Offset uint64
	Data   []byte
	Time   time.Time // time of the append as set by the log; for display only, no decision may depend on it
}

// Page is the result of one read.
type Page struct {
	First   uint64   // oldest offset that the stream still retains
	Next    uint64   // offset to read from next
	Records []Record // records in order of their offsets
}

// Log is the platform's append-only log; within a stream, offsets start at 1 and increase by 1.
type Log interface {
	// Append returns the record's offset, or an error that wraps ErrUnavailable or ErrOutcomeUnknown.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns the records from the offset on; if there are none yet, it waits until the deadline for one. With a zero deadline it
	// does not wait.
	Read(ctx context.Context, stream string, from uint64, deadline time.Time) (Page, error)
}
