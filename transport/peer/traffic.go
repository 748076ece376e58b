package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts what has passed over all connections between instances, in bytes and calls.
type Traffic struct {
	BytesIn  atomic.Int64
	BytesOut atomic.Int64
	CallsIn  atomic.Int64
	CallsOut atomic.Int64
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
