package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// connections tracks the open connections of a stand-in, so that faults can cut or silence them.
type connections struct {
	mutex sync.Mutex
	open  map[*connection]struct{}
}

func newConnections() *connections {
	return &connections{open: make(map[*connection]struct{})}
}

func (c *connections) add(raw net.Conn) net.Conn {
	wrapped := &connection{Conn: raw, owner: c, closed: make(chan struct{})}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open[wrapped] = struct{}{}
	return wrapped
}

func (c *connections) remove(conn *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.open, conn)
}

func (c *connections) list() []*connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	all := make([]*connection, 0, len(c.open))
	for conn := range c.open {
		all = append(all, conn)
	}
	return all
}

// silence makes the connections open now silent for good.
func (c *connections) silence() {
	for _, conn := range c.list() {
		conn.silent.Store(true)
	}
}

// cut closes the connections with a reset, which does not reach the peers of silent ones.
func (c *connections) cut() {
	for _, conn := range c.list() {
		if !conn.silent.Load() {
			conn.cut()
		}
	}
}

// drop closes all connections, silent ones too.
func (c *connections) drop() {
	for _, conn := range c.list() {
		conn.cut()
	}
}

// connection is one accepted connection; when silent it swallows writes, never returns from a read and keeps the peer unaware of its end.
type connection struct {
	net.Conn
	owner  *connections
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

// Read reads from the peer; it blocks until Close once the connection is silent.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.silent.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes to the peer, or to nowhere once the connection is silent.
func (c *connection) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection; the peer of a silent one is not told.
func (c *connection) Close() error {
	c.once.Do(func() { close(c.closed) })
	if c.silent.Load() {
		return nil
	}
	c.owner.remove(c)
	return c.Conn.Close()
}

// cut resets the connection, so that the peer sees an error and no orderly end.
func (c *connection) cut() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.once.Do(func() { close(c.closed) })
	c.owner.remove(c)
	_ = c.Conn.Close()
}

// listener hands accepted connections to their owner.
type listener struct {
	net.Listener
	owner *connections
}

// Accept returns the next connection, tracked.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.owner.add(raw), nil
}
