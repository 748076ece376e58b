package traffic

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
)

// Kind is one kind of request, known by how its first line begins.
type Kind struct {
	Name   string
	Method string
	Path   string // contained in the request line
}

// Usage is what one kind has cost so far, in calls and bytes on the connections, headers included.
type Usage struct {
	Name     string `json:"name"`
	Calls    int64  `json:"calls"`
	BytesIn  int64  `json:"bytesIn"`
	BytesOut int64  `json:"bytesOut"`
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

type counter struct {
	kind     Kind
	method   []byte
	path     []byte
	calls    atomic.Int64
	bytesIn  atomic.Int64
	bytesOut atomic.Int64
}

// Meter counts the calls and bytes of HTTP/1.1 connections by kind.
type Meter struct {
	counters []*counter
}

// NewMeter returns a meter; a request counts for the first kind that it fits, and not at all if it fits none.
func NewMeter(kinds ...Kind) *Meter {
	m := &Meter{}
	for _, k := range kinds {
		m.counters = append(m.counters, &counter{kind: k, method: []byte(k.Method + " "), path: []byte(k.Path)})
	}
	return m
}

// Usage returns what each kind has cost so far, in the order given to NewMeter.
func (m *Meter) Usage() []Usage {
	all := make([]Usage, 0, len(m.counters))
	for _, c := range m.counters {
		all = append(all, Usage{
			Name: c.kind.Name, Calls: c.calls.Load(), BytesIn: c.bytesIn.Load(), BytesOut: c.bytesOut.Load(),
		})
	}
	return all
}

// Wrap returns a dial function whose connections are counted; a nil meter counts nothing.
func (m *Meter) Wrap(dial Dial) Dial {
	if m == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw, meter: m}, nil
	}
}

// find returns the counter of the request that the bytes begin, or nil if they begin none of a known kind.
func (m *Meter) find(data []byte) *counter {
	line, _, _ := bytes.Cut(data, []byte("\r\n"))
	for _, c := range m.counters {
		if bytes.HasPrefix(line, c.method) && bytes.Contains(line, c.path) {
			return c
		}
	}
	return nil
}

// conn counts the bytes of one connection for the request in progress on it.
type conn struct {
	net.Conn
	meter   *Meter
	current atomic.Pointer[counter]
}

// Read reads and counts.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if counter := c.current.Load(); counter != nil {
		counter.bytesIn.Add(int64(n))
	}
	return n, err
}

// Write counts and writes.
func (c *conn) Write(buffer []byte) (int, error) {
	if next := c.meter.find(buffer); next != nil {
		c.current.Store(next)
		next.calls.Add(1)
	}
	n, err := c.Conn.Write(buffer)
	if counter := c.current.Load(); counter != nil {
		counter.bytesOut.Add(int64(n))
	}
	return n, err
}
