package response

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
)

// errLargeHead reports a head that exceeds the size limit.
var errLargeHead = &MalformedError{Reason: "head exceeds the size limit"}

// conn is a connection that requests are sent on one after the other. What is read after a request begins with heads that HTTP allows, or reading fails;
// no byte of a head is passed on before it is whole. One goroutine reads at a time, and one writes.
type conn struct {
	net.Conn
	limit      int         // largest size of the heads of one response
	awaitsHead atomic.Bool // the head of a response comes next
	upload     atomic.Pointer[upload]
	framed     bool   // the latest response says where its body ends
	head       head   // that comes
	pending    []byte // of it, that has come
	passed     []byte // checked, and not read yet
	failed     error  // with which reading has failed for good
}

func newConn(c net.Conn, limit int) *conn {
	wrapped := &conn{Conn: c, limit: limit}
	wrapped.begin(0)
	return wrapped
}

// begin expects a request with so many bytes in its body, and the response to it.
func (c *conn) begin(bodyBytes int64) {
	c.upload.Store(newUpload(bodyBytes))
	c.awaitsHead.Store(true)
}

// Read returns what has come, once the heads have been checked.
func (c *conn) Read(p []byte) (int, error) {
	for len(c.passed) == 0 {
		if c.failed != nil {
			return 0, c.failed
		}
		n, err := c.Conn.Read(p)
		if !c.awaitsHead.Load() {
			return n, c.checkEnd(err)
		}
		if c.failed = c.take(p[:n]); c.failed == nil {
			c.failed = err
		}
	}
	n := copy(p, c.passed)
	c.passed = c.passed[n:]
	return n, nil
}

// take checks bytes of a head, and passes them on once it is whole.
func (c *conn) take(data []byte) error {
	c.pending = append(c.pending, data...)
	whole, err := c.head.check(c.pending)
	switch {
	case err != nil:
		return err
	case whole:
		c.framed = c.head.isFramed()
		c.passed, c.pending, c.head = c.pending, nil, head{}
		c.awaitsHead.Store(false)
	case len(c.pending) > c.limit:
		return errLargeHead
	}
	return nil
}

// checkEnd returns the error of a read within a body. A body whose end nothing marks but the end of the connection is whole only if the request was
// sent without an error: a reset that comes while it is being sent may be reported to the writer alone, and the reader then meets an end as usual.
func (c *conn) checkEnd(err error) error {
	if c.framed || !errors.Is(err, io.EOF) {
		return err
	}
	if !c.upload.Load().await() {
		return errUnsent
	}
	return err
}

// Write sends bytes of the request.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.upload.Load().note(p[:n], err)
	return n, err
}

// Close closes the connection; what has not been sent of the request is not sent any more.
func (c *conn) Close() error {
	c.upload.Load().note(nil, net.ErrClosed)
	return c.Conn.Close()
}
