package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/netip"
	"sync"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc/panics"
	"github.com/sourcegraph/jsonrpc2"
)

// Serve accepts connections on the listener until Close.
func (n *Node) Serve(listener net.Listener) {
	n.mutex.Lock()
	n.listener = listener
	n.mutex.Unlock()
	n.group.Go(func() { n.accept(listener) })
}

func (n *Node) accept(listener net.Listener) {
	for {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		if !n.admit(raw) {
			_ = raw.Close()
			continue
		}
		n.group.Go(func() { n.attend(raw) })
	}
}

func (n *Node) admit(raw net.Conn) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed || len(n.accepted) >= maximumConnections {
		return false
	}
	n.accepted[raw] = struct{}{}
	return true
}

// attend serves one connection until it ends.
func (n *Node) attend(raw net.Conn) {
	defer n.dismiss(raw)
	conn := raw
	if n.config.ServerTLS != nil {
		conn = tls.Server(raw, n.config.ServerTLS)
	}
	counted := &countedConn{Conn: conn, traffic: &n.traffic}
	g := &guest{node: n}
	stream := jsonrpc2.NewBufferedStream(counted, codec{})
	remote := jsonrpc2.NewConn(context.Background(), stream, g, jsonrpc2.SetLogger(quiet{}))
	<-remote.DisconnectNotify()
}

func (n *Node) dismiss(raw net.Conn) {
	_ = raw.Close()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.accepted, raw)
}

// guest is the other side of an accepted connection; only one that has proved the key is served.
type guest struct {
	node *Node

	mutex   sync.Mutex
	nonce   []byte
	given   hello
	address netip.AddrPort // valid once proven
}

// Handle goes through the handshake, then hands each call to a worker.
func (g *guest) Handle(_ context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	switch request.Method {
	case methodHello:
		g.answer(conn, request, g.greet)
	case methodProve:
		g.answer(conn, request, g.check)
	default:
		g.serve(conn, request)
	}
}

func (g *guest) serve(conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	from := g.proven()
	if !from.IsValid() {
		replyError(conn, request, codeUnauthenticated, "not authenticated")
		return
	}
	served, ok := g.node.methods[request.Method]
	if !ok {
		replyError(conn, request, jsonrpc2.CodeMethodNotFound, "unknown method "+request.Method)
		return
	}
	g.node.traffic.CallsIn.Add(1)
	g.node.slots <- struct{}{}
	g.node.group.Go(func() {
		defer func() { <-g.node.slots }()
		g.answer(conn, request, func(ctx context.Context, params json.RawMessage) (any, error) {
			return served.serve(ctx, from, params)
		})
	})
}

// serve runs the handler and counts what goes in and out; the result is encoded here, once.
func (m *method) serve(ctx context.Context, from netip.AddrPort, params json.RawMessage) (any, error) {
	m.calls.Add(1)
	m.paramBytes.Add(int64(len(params)))
	result, err := m.handler(ctx, from, params)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(result)
	if err != nil {
		return nil, err
	}
	m.resultBytes.Add(int64(len(data)))
	return json.RawMessage(data), nil
}

func (g *guest) answer(conn *jsonrpc2.Conn, request *jsonrpc2.Request, serve func(context.Context, json.RawMessage) (any, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
	defer cancel()
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	var result any
	var err error
	if caught := panics.Try(func() { result, err = serve(ctx, params) }); caught != nil {
		g.node.traffic.Panics.Add(1)
		err = caught.AsError()
	}
	if err != nil {
		replyError(conn, request, codeFailed, err.Error())
		return
	}
	reply(ctx, conn, request, result)
}

func (g *guest) greet(_ context.Context, params json.RawMessage) (any, error) {
	keys := *g.node.keys.Load()
	var given hello
	if err := json.Unmarshal(params, &given); err != nil {
		return nil, err
	}
	if len(given.Nonce) != nonceBytes || !given.Address.IsValid() || len(keys) == 0 {
		return nil, oops.In("peer").Errorf("hello without a nonce, an address or a key")
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.given = given
	g.nonce = newNonce()
	return welcome{Nonce: g.nonce, Proof: prove(keys[0], roleServer, given.Nonce, g.nonce, g.node.config.Address)}, nil
}

func (g *guest) check(_ context.Context, params json.RawMessage) (any, error) {
	var given proof
	if err := json.Unmarshal(params, &given); err != nil {
		return nil, err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	keys := *g.node.keys.Load()
	if g.nonce == nil || !proven(keys, given.Proof, roleCaller, g.given.Nonce, g.nonce, g.given.Address) {
		return nil, oops.In("peer").Errorf("peer did not prove the key")
	}
	g.address = g.given.Address
	return struct{}{}, nil
}

func (g *guest) proven() netip.AddrPort {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.address
}

// reply sends a result; what is encoded already is not encoded again.
func reply(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, result any) {
	if data, ok := result.(json.RawMessage); ok {
		_ = conn.SendResponse(ctx, &jsonrpc2.Response{ID: request.ID, Result: &data})
		return
	}
	_ = conn.Reply(ctx, request.ID, result)
}

func replyError(conn *jsonrpc2.Conn, request *jsonrpc2.Request, code int64, message string) {
	if request.Notif {
		return
	}
	_ = conn.ReplyWithError(context.Background(), request.ID, &jsonrpc2.Error{Code: code, Message: message})
}
