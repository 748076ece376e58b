package peer

import (
	"cmp"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// Traffic counts what has passed over all connections between instances, in bytes and calls.
type Traffic struct {
	BytesIn  atomic.Int64
	BytesOut atomic.Int64
	CallsIn  atomic.Int64
	CallsOut atomic.Int64
	Panics   atomic.Int64 // of handlers; the caller got an error
}

// MethodUsage is what serving one method has cost so far, in calls and bytes of JSON without the frames around it.
type MethodUsage struct {
	Method      string `json:"method"`
	Calls       int64  `json:"calls"`
	ParamBytes  int64  `json:"paramBytes"`
	ResultBytes int64  `json:"resultBytes"`
}

// method is a handler and what serving it has cost.
type method struct {
	handler     Handler
	calls       atomic.Int64
	paramBytes  atomic.Int64
	resultBytes atomic.Int64
}

// Served returns what serving each method has cost so far, by name.
func (n *Node) Served() []MethodUsage {
	all := make([]MethodUsage, 0, len(n.methods))
	for name, m := range n.methods {
		all = append(all, MethodUsage{
			Method: name, Calls: m.calls.Load(), ParamBytes: m.paramBytes.Load(), ResultBytes: m.resultBytes.Load(),
		})
	}
	slices.SortFunc(all, func(a, b MethodUsage) int { return cmp.Compare(a.Method, b.Method) })
	return all
}

// countedConn counts bytes and bounds each write by a deadline, so that a silent peer can't hold a writer for good.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads and counts.
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.traffic.BytesIn.Add(int64(n))
	return n, err
}

// Write writes within the write timeout and counts.
func (c *countedConn) Write(buffer []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(buffer)
	c.traffic.BytesOut.Add(int64(n))
	return n, err
}
