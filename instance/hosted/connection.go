package hosted

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// connectionState is what has been read on a caller's connection.
type connectionState = int32

const (
	connectionSilent   connectionState = iota // nothing yet
	connectionBusy                            // a part of a request, or a request that has no whole answer yet
	connectionAnswered                        // nothing since the latest answer
	connectionEnding                          // nothing will be acted on any more; the server's goroutine closes it
	connectionClosed                          // the same, and it is closed
)

// callerConnection is a caller's connection, which is either read or closed as idle, never both.
type callerConnection struct {
	*net.TCPConn
	connections *connections
	accepted    time.Time
	state       atomic.Int32
	served      atomic.Bool               // a handler has begun the latest request, whose answer is not whole
	unfinished  atomic.Bool               // the latest answer is not whole, and only a reset shows that
	answeredAt  atomic.Int64              // time of the latest answer, in nanoseconds since the connection was accepted
	ending      atomic.Pointer[time.Time] // until when it lingers after it has been closed as idle
}

// Read reads from the connection. What has come on a connection that has been closed as idle meanwhile is not returned, so that it is not acted on.
func (c *callerConnection) Read(p []byte) (int, error) {
	if c.state.Load() >= connectionEnding { // the server may have set another read deadline since
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.begin() {
		return 0, net.ErrClosed
	}
	return n, err
}

// begin notes that a request is being read or served, and reports whether the connection is open for that.
func (c *callerConnection) begin() bool {
	for {
		state := c.state.Load()
		if state == connectionBusy || state >= connectionEnding {
			return state == connectionBusy
		}
		if c.state.CompareAndSwap(state, connectionBusy) {
			return true
		}
	}
}

// answered notes that the latest request has its whole answer.
func (c *callerConnection) answered(now time.Time) {
	c.served.Store(false)
	c.answeredAt.Store(int64(now.Sub(c.accepted)))
	c.state.CompareAndSwap(connectionBusy, connectionAnswered)
}

// closeIdle closes the connection unless a request is in progress, or may be expected: the first one, since the connection was accepted lately, or one
// that was read together with the one before.
func (c *callerConnection) closeIdle(now time.Time) {
	age := now.Sub(c.accepted)
	switch c.state.Load() {
	case connectionSilent:
		if age >= firstRequestTime && c.state.CompareAndSwap(connectionSilent, connectionClosed) {
			_ = c.Close() // its caller may have closed it
		}
	case connectionAnswered:
		if age-time.Duration(c.answeredAt.Load()) >= nextRequestTime {
			c.endAnswered(now)
		}
	}
}

// endAnswered ends an answered connection without waiting. Its caller may not have read the whole answer and may still send, so that the close, which
// the server's goroutine makes once its read returns, lingers.
func (c *callerConnection) endAnswered(now time.Time) {
	deadline := c.connections.lingerDeadline(now)
	c.ending.Store(&deadline)
	if c.state.CompareAndSwap(connectionAnswered, connectionEnding) {
		_ = c.CloseWrite() // its caller may have closed it
		_ = c.SetReadDeadline(deadline)
	}
}

// Close closes the connection in order: what the caller has sent behind its request is read and discarded, for some time if an answer has just been sent,
// since the kernel would drop what the caller has not taken of the answer if anything remained unread.
func (c *callerConnection) Close() error {
	if c.unfinished.Load() {
		_ = c.SetLinger(0) // fails only if the connection is closed already
		return c.TCPConn.Close()
	}
	_ = c.CloseWrite() // it may be closed already
	switch deadline := c.connections.lingerDeadline(time.Now()); c.state.Swap(connectionClosed) {
	case connectionBusy:
		c.linger(deadline)
	case connectionEnding:
		if ending := *c.ending.Load(); ending.Before(deadline) {
			deadline = ending
		}
		c.linger(deadline)
	}
	c.discard()
	return c.TCPConn.Close()
}

// linger reads and discards what comes until the caller has closed the connection too, or until the deadline.
func (c *callerConnection) linger(deadline time.Time) {
	if err := c.SetReadDeadline(deadline); err == nil {
		_, _ = io.Copy(io.Discard, reader{c.TCPConn})
	}
}

// reader hides all methods of a connection but Read.
type reader struct{ io.Reader }

// discard reads what has come, without waiting.
func (c *callerConnection) discard() {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	var buffer [4096]byte
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		for range maximumDiscards {
			if n, err := syscall.Read(int(fd), buffer[:]); n <= 0 || err != nil {
				return
			}
		}
	})
}

// growSendBuffer grows the send buffer of a connection with a request in progress, so that the kernel sends the rest of the answer to a slow caller after
// the process has ended.
func (c *callerConnection) growSendBuffer() {
	if c.state.Load() != connectionBusy {
		return
	}
	if size, err := c.sendBuffer(); err != nil || size < enoughSendBytes {
		_ = c.SetWriteBuffer(lastSendBytes) // fails only on a closed connection
	}
}

// sendBuffer returns how many bytes the kernel takes of what the caller has not read.
func (c *callerConnection) sendBuffer() (size int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { size, failed = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF) }); err != nil {
		return 0, err
	}
	return size, failed
}
