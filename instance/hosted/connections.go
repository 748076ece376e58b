package hosted

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"dogwooddyke/internal/wait"
)

// connections tracks the callers' connections on which a request is in progress or may still come: http.Server.Shutdown would close them as soon
// as a request has been read, without an answer.
type connections struct {
	mutex    sync.Mutex
	active   map[net.Conn]bool
	accepted map[net.Conn]time.Time // times of connections on which no request has been read yet
}

func newConnections() *connections {
	return &connections{active: make(map[net.Conn]bool), accepted: make(map[net.Conn]time.Time)}
}

// changed is the server's hook for a connection's change of state.
func (c *connections) changed(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.accepted, connection)
	delete(c.active, connection)
	switch state {
	case http.StateNew:
		c.accepted[connection] = time.Now()
	case http.StateActive:
		c.active[connection] = true
	case http.StateIdle, http.StateHijacked, http.StateClosed:
	}
}

// busy reports whether a request is in progress, or may be expected on a connection that was accepted lately.
func (c *connections) busy(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.active) > 0 {
		return true
	}
	for _, at := range c.accepted {
		if now.Sub(at) < firstRequestTime {
			return true
		}
	}
	return false
}

// answering reports whether a request is in progress on a connection.
func (c *connections) answering() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.active) > 0
}

// awaitAnswers waits until no request is in progress. It returns the context's error if that ends first.
func (c *connections) awaitAnswers(ctx context.Context) error {
	for c.answering() {
		if err := wait.For(ctx, answerPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// awaitEnd waits until no connection is busy. It returns the context's error if that ends first.
func (c *connections) awaitEnd(ctx context.Context) error {
	for c.busy(time.Now()) {
		if err := wait.For(ctx, connectionPollInterval); err != nil {
			return err
		}
	}
	return nil
}
