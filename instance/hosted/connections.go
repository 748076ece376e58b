package hosted

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dogwooddyke/internal/wait"
)

// connections holds the callers' connections. An instance that is stopped closes each of them only while nothing has been read on it since its latest
// answer: the server itself would also close connections on which a request is being read.
type connections struct {
	stopping atomic.Bool               // connections are closed after their answers
	until    atomic.Pointer[time.Time] // when all connections are closed; nil: not known

	mutex sync.Mutex
	open  map[*callerConnection]bool
	ended bool // no connection is accepted any more
}

func newConnections() *connections {
	return &connections{open: make(map[*callerConnection]bool)}
}

// trackingListener accepts callers' connections.
type trackingListener struct {
	net.Listener
	connections *connections
}

// Accept returns the next connection.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConnection{TCPConn: accepted.(*net.TCPConn), connections: l.connections, accepted: time.Now()}
	l.connections.add(c)
	return c, nil
}

func (c *connections) add(connection *callerConnection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended {
		_ = connection.Close() // nothing has been read on it
		return
	}
	c.open[connection] = true
}

// changed is the server's hook for a connection's change of state.
func (c *connections) changed(changed net.Conn, state http.ConnState) {
	connection := changed.(*callerConnection)
	switch state {
	case http.StateIdle:
		connection.answered(time.Now())
		if c.stopping.Load() {
			time.AfterFunc(nextRequestTime, func() { connection.closeIdle(time.Now()) })
		}
	case http.StateClosed:
		c.mutex.Lock()
		delete(c.open, connection)
		c.mutex.Unlock()
	case http.StateNew, http.StateActive, http.StateHijacked:
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// context is the server's hook for the context of a connection's requests.
func (c *connections) context(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// guard returns a handler that passes on no request whose connection has been closed, since its caller would get no answer. While an answer is not
// whole, a close resets its connection if nothing else shows that, as in HTTP/1.0.
func (c *connections) guard(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connection, ok := r.Context().Value(connectionKey{}).(*callerConnection)
		if ok && !connection.begin() {
			panic(http.ErrAbortHandler)
		}
		if ok {
			connection.served.Store(true)
		}
		unmarked := ok && !r.ProtoAtLeast(1, 1)
		if unmarked {
			connection.unfinished.Store(true)
		}
		handler.ServeHTTP(w, r)
		if unmarked {
			connection.unfinished.Store(false)
		}
	})
}

// stop closes the connections that wait for another request. All others are closed once they have been answered, or if their first request does not come,
// and all at the given time.
func (c *connections) stop(until time.Time) {
	c.until.Store(&until)
	c.stopping.Store(true)
	c.closeIdle(time.Now())
}

// lingerDeadline returns the time until which a connection that is closed now is read, for its caller to close it too.
func (c *connections) lingerDeadline(now time.Time) time.Time {
	latest := now.Add(lingerTime)
	if until := c.until.Load(); until != nil && until.Before(latest) {
		return *until
	}
	return latest
}

// endLinger sets the linger deadline of connections that are closed from now on to the given time.
func (c *connections) endLinger(now time.Time) { c.until.Store(&now) }

// closeIdle closes the connections on which no request is in progress or expected, and reports whether none is left.
func (c *connections) closeIdle(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for connection := range c.open {
		connection.closeIdle(now)
	}
	return len(c.open) == 0
}

// growSendBuffers grows the send buffers of all connections with a request in progress.
func (c *connections) growSendBuffers() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for connection := range c.open {
		connection.growSendBuffer()
	}
}

// answering reports whether a handler serves a request of a connection, or its answer is not whole. A part of a head is no such request.
func (c *connections) answering() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for connection := range c.open {
		if connection.served.Load() && connection.state.Load() == connectionBusy {
			return true
		}
	}
	return false
}

// awaitAnswers waits until no request is being served. It returns the context's error if that ends first.
func (c *connections) awaitAnswers(ctx context.Context) error {
	for c.answering() {
		if err := wait.For(ctx, answerPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// awaitEnd waits until no connection is left and has none accepted after that. It returns the context's error if that ends first.
func (c *connections) awaitEnd(ctx context.Context) error {
	for !c.end() {
		if err := wait.For(ctx, connectionPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// end accepts no further connection if none is left, which it reports.
func (c *connections) end() bool {
	none := c.closeIdle(time.Now())
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ended = none && len(c.open) == 0
	return c.ended
}
