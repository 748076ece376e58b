package resumption

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"dogwooddyke/state/stream"
)

// Record is the beginning of a stream in a message; clocks of instances differ, so it has the time left.
type Record struct {
	Stream  stream.ID     `cbor:"1,keyasint"`
	Service string        `cbor:"2,keyasint"`
	Version string        `cbor:"3,keyasint"`
	Left    time.Duration `cbor:"4,keyasint"` // in which the caller may take the stream up
}

// Notice is a message with beginnings that the receiver is to keep.
type Notice struct {
	Records []Record `cbor:"1,keyasint"`
}

// Question is a message that asks where a stream began.
type Question struct {
	From    netip.AddrPort `cbor:"1,keyasint"`
	Number  uint64         `cbor:"2,keyasint"` // of the question; a repeated one has the same
	Stream  stream.ID      `cbor:"3,keyasint"`
	Service string         `cbor:"4,keyasint"`
}

// Answer is the answer to a question: the beginning if it is known, else what the instance knows of the service's versions.
type Answer struct {
	From     netip.AddrPort `cbor:"1,keyasint"`
	Number   uint64         `cbor:"2,keyasint"`
	Record   *Record        `cbor:"3,keyasint,omitempty"`
	Versions []string       `cbor:"4,keyasint,omitempty"`
	Fresh    bool           `cbor:"5,keyasint,omitempty"`
	Span     time.Duration  `cbor:"6,keyasint,omitempty"`
}

// newRecord returns the record of a beginning.
func newRecord(id stream.ID, b stream.Beginning, now time.Time) Record {
	return Record{Stream: id, Service: b.Service, Version: b.Version, Left: min(b.Until.Sub(now), maximumKept)}
}

// beginning returns the beginning of a record that is received now.
func (r *Record) beginning(now time.Time) stream.Beginning {
	return stream.Beginning{Service: r.Service, Version: r.Version, Until: now.Add(r.Left)}
}

// Check returns an error that names the first field whose value is out of range.
func (r *Record) Check() error {
	switch {
	case r.Service == "" || len(r.Service) > maximumText:
		return fmt.Errorf("beginning of a stream: service has %d bytes, not 1 to %d", len(r.Service), maximumText)
	case r.Version == "" || len(r.Version) > maximumText:
		return fmt.Errorf("beginning of a stream: version has %d bytes, not 1 to %d", len(r.Version), maximumText)
	case r.Left < 0 || r.Left > maximumKept:
		return fmt.Errorf("beginning of a stream: time left is outside 0 to %s: %s", maximumKept, r.Left)
	}
	return nil
}

// Check returns an error that names the first field whose value is out of range.
func (n *Notice) Check() error {
	if len(n.Records) > maximumRecords {
		return fmt.Errorf("beginnings of streams: more than %d records: %d", maximumRecords, len(n.Records))
	}
	for i := range n.Records {
		if err := n.Records[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Check returns an error that names the first field whose value is out of range.
func (q *Question) Check() error {
	switch {
	case !q.From.IsValid():
		return errors.New("question for a stream: sender has no valid address")
	case len(q.Service) > maximumText:
		return fmt.Errorf("question for a stream: service has more than %d bytes: %d", maximumText, len(q.Service))
	}
	return nil
}

// Check returns an error that names the first field whose value is out of range.
func (a *Answer) Check() error {
	switch {
	case !a.From.IsValid():
		return errors.New("answer about a stream: sender has no valid address")
	case len(a.Versions) > maximumListed:
		return fmt.Errorf("answer about a stream: more than %d versions: %d", maximumListed, len(a.Versions))
	case a.Span < 0:
		return fmt.Errorf("answer about a stream: span is negative: %s", a.Span)
	}
	for _, v := range a.Versions {
		if len(v) > maximumText {
			return fmt.Errorf("answer about a stream: version has more than %d bytes: %d", maximumText, len(v))
		}
	}
	if a.Record != nil {
		return a.Record.Check()
	}
	return nil
}
