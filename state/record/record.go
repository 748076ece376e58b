package record

import (
	"context"
	"errors"
	"time"
)

// ErrOutcomeUnknown reports an append whose acknowledgement was lost: the record may or may not be in the stream.
var ErrOutcomeUnknown = errors.New("append outcome unknown")

// ErrUnavailable reports a log that certainly did not take the append or the read.
var ErrUnavailable = errors.New("log unavailable")

// Record is one entry of a stream of the platform's log.
type Record struct {
	Offset uint64
	Data   []byte
	Time   time.Time // set by the log; for people, never for decisions
}

// Page is the answer to one read; First is the oldest offset still retained and Next the offset to read from next.
type Page struct {
	First   uint64
	Next    uint64
	Records []Record
}

// Log is the platform's append-only log; offsets start at 1 and grow by 1 within a stream.
type Log interface {
	// Append returns the record's offset, or an error that wraps ErrUnavailable or ErrOutcomeUnknown.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns the records from the offset on, waiting for one at most until the deadline; a zero deadline does not wait.
	Read(ctx context.Context, stream string, from uint64, deadline time.Time) (Page, error)
}
