package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/jsonrpc2"
)

// ErrUnreachable reports a call that certainly did not reach the other instance.
var ErrUnreachable = errors.New("peer unreachable")

// ErrNoAnswer reports a call whose answer did not arrive: it may or may not have been served.
var ErrNoAnswer = errors.New("no answer from peer")

// ErrRemote reports a call that the other instance served with an error.
var ErrRemote = errors.New("peer answered with an error")

// Handler serves one method; from is the peer listener of the instance that calls.
type Handler func(ctx context.Context, from netip.AddrPort, params json.RawMessage) (any, error)

// Config sets up a Node; a nil TLS speaks plain TCP.
type Config struct {
	Address   netip.AddrPort // the own peer listener, as others reach it
	Keys      [][]byte       // the first one proves, each one is accepted
	ServerTLS *tls.Config
	ClientTLS *tls.Config
}

// Node is an instance's end of all connections between instances.
//
// Lock order: mutex before a connection's own mutex.
type Node struct {
	config  Config
	keys    atomic.Pointer[[][]byte]
	traffic Traffic
	methods map[string]*method
	slots   chan struct{} // one for each call being served
	group   conc.WaitGroup

	mutex       sync.Mutex
	closed      bool
	listener    net.Listener
	connections map[netip.AddrPort]*connection
	accepted    map[net.Conn]struct{}
	retired     map[*jsonrpc2.Conn]*time.Timer // overdue connections that may still owe answers
}

// NewNode returns a node that does not listen yet.
func NewNode(config Config) *Node {
	n := &Node{
		config:      config,
		methods:     make(map[string]*method),
		slots:       make(chan struct{}, maximumHandlers),
		connections: make(map[netip.AddrPort]*connection),
		accepted:    make(map[net.Conn]struct{}),
		retired:     make(map[*jsonrpc2.Conn]*time.Timer),
	}
	n.SetKeys(config.Keys)
	return n
}

// SetKeys replaces the keys for connections made from now on.
func (n *Node) SetKeys(keys [][]byte) {
	n.keys.Store(&keys)
}

// Handle registers the handler of a method; it must be called before Serve.
func (n *Node) Handle(name string, handler Handler) {
	n.methods[name] = &method{handler: handler}
}

// Traffic returns the node's counters.
func (n *Node) Traffic() *Traffic {
	return &n.traffic
}

// Address returns the own peer listener.
func (n *Node) Address() netip.AddrPort {
	return n.config.Address
}

// Call sends the method to the other instance and decodes the answer into result, which may be nil; the error wraps
// ErrUnreachable, ErrNoAnswer or ErrRemote.
func (n *Node) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	c, err := n.connection(to)
	if err != nil {
		return err
	}
	n.traffic.CallsOut.Add(1)
	if err := c.call(ctx, method, params, result); err != nil {
		return oops.In("peer").With("to", to, "method", method).Wrap(err)
	}
	return nil
}

// Close ends all connections and waits for the handlers in progress.
func (n *Node) Close() {
	n.mutex.Lock()
	if n.closed {
		n.mutex.Unlock()
		return
	}
	n.closed = true
	if n.listener != nil {
		_ = n.listener.Close()
	}
	for _, c := range n.connections {
		c.close()
	}
	for c := range n.accepted {
		_ = c.Close()
	}
	for c, t := range n.retired {
		t.Stop()
		_ = c.Close()
	}
	n.mutex.Unlock()
	n.group.Wait()
}

// connection returns the kept connection to the instance, in place of one that has broken.
func (n *Node) connection(to netip.AddrPort) (*connection, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed {
		return nil, oops.In("peer").Wrapf(ErrUnreachable, "closed")
	}
	if c, ok := n.connections[to]; ok && !c.broken() {
		return c, nil
	}
	n.forgetBroken()
	c := &connection{node: n, to: to}
	n.connections[to] = c
	return c, nil
}

// Renew has the next call to the instance make a new connection, since an answer is late and the connection in use may have gone silent. Calls
// in progress go on.
func (n *Node) Renew(to netip.AddrPort) {
	n.mutex.Lock()
	c := n.connections[to]
	delete(n.connections, to)
	n.mutex.Unlock()
	if c != nil {
		c.giveUp()
	}
}

func (n *Node) forgetBroken() {
	for to, c := range n.connections {
		if c.broken() {
			delete(n.connections, to)
		}
	}
}

// retire leaves other calls on the connection until their own deadlines, then closes it.
func (n *Node) retire(remote *jsonrpc2.Conn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed {
		_ = remote.Close()
		return
	}
	if _, ok := n.retired[remote]; ok {
		return
	}
	n.retired[remote] = time.AfterFunc(handlerTimeout, func() { n.bury(remote) })
}

func (n *Node) bury(remote *jsonrpc2.Conn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.retired, remote)
	_ = remote.Close()
}
