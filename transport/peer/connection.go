package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

// connection is an outgoing connection; it is dialled by the first call and never dialled again.
type connection struct {
	node   *Node
	to     netip.AddrPort
	failed atomic.Bool

	mutex  sync.Mutex
	remote *jsonrpc2.Conn
}

func (c *connection) broken() bool {
	return c.failed.Load()
}

func (c *connection) close() {
	c.failed.Store(true)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.remote != nil {
		_ = c.remote.Close()
	}
}

// giveUp has no further call use the connection. One that is being dialled is retired by the call that dials it.
func (c *connection) giveUp() {
	c.failed.Store(true)
	if !c.mutex.TryLock() {
		return
	}
	remote := c.remote
	c.mutex.Unlock()
	if remote != nil {
		c.node.retire(remote)
	}
}

func (c *connection) call(ctx context.Context, method string, params, result any) error {
	remote, err := c.open(ctx)
	if err != nil {
		c.failed.Store(true)
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	err = remote.Call(ctx, method, params, result)
	if c.failed.Load() {
		c.node.retire(remote) // no further call uses it
	}
	if err == nil {
		return nil
	}
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		return fmt.Errorf("%w: %s", ErrRemote, answered.Message)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	// An answer that is overdue may mean a connection that went silent for good, so the next call makes a new one.
	c.failed.Store(true)
	if ctx.Err() == nil {
		_ = remote.Close()
	} else {
		c.node.retire(remote)
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

func (c *connection) open(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.remote != nil {
		return c.remote, nil
	}
	if c.failed.Load() {
		return nil, errors.New("connection has failed")
	}
	remote, err := c.node.dial(ctx, c.to)
	if err != nil {
		return nil, err
	}
	c.remote = remote
	return remote, nil
}

func (n *Node) dial(ctx context.Context, to netip.AddrPort) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout / 4}
	raw, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	if n.config.ClientTLS != nil {
		raw = tls.Client(raw, n.config.ClientTLS)
	}
	counted := &countedConn{Conn: raw, traffic: &n.traffic}
	stream := jsonrpc2.NewBufferedStream(counted, codec{})
	remote := jsonrpc2.NewConn(context.Background(), stream, refuseAll{}, jsonrpc2.SetLogger(quiet{}))
	if err := n.introduce(ctx, remote, to); err != nil {
		_ = remote.Close()
		return nil, err
	}
	return remote, nil
}

// introduce goes through the handshake as the caller.
func (n *Node) introduce(ctx context.Context, remote *jsonrpc2.Conn, to netip.AddrPort) error {
	keys := *n.keys.Load()
	if len(keys) == 0 {
		return errors.New("no peer key")
	}
	nonce := newNonce()
	var answer welcome
	if err := remote.Call(ctx, methodHello, hello{Address: n.config.Address, Nonce: nonce}, &answer); err != nil {
		return err
	}
	if len(answer.Nonce) != nonceBytes || !proven(keys, answer.Proof, roleServer, nonce, answer.Nonce, to) {
		return errors.New("peer did not prove the key")
	}
	own := proof{Proof: prove(keys[0], roleCaller, nonce, answer.Nonce, n.config.Address)}
	return remote.Call(ctx, methodProve, own, nil)
}

// refuseAll is the handler of outgoing connections, on which the other side has nothing to ask.
type refuseAll struct{}

// Handle drops the request.
func (refuseAll) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// quiet keeps the library from logging: broken connections are counted, not logged.
type quiet struct{}

// Printf does nothing.
func (quiet) Printf(string, ...any) {}
