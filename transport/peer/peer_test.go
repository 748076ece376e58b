package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startNode returns a listening node that echoes and is closed with the test.
func startNode(t *testing.T, keys ...string) *Node {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	config := Config{Address: listener.Addr().(*net.TCPAddr).AddrPort()}
	for _, k := range keys {
		config.Keys = append(config.Keys, []byte(k))
	}
	n := NewNode(config)
	n.Handle("test.echo", func(_ context.Context, from netip.AddrPort, params json.RawMessage) (any, error) {
		return struct {
			From netip.AddrPort  `json:"from"`
			Data json.RawMessage `json:"data"`
		}{from, params}, nil
	})
	n.Handle("test.fail", func(context.Context, netip.AddrPort, json.RawMessage) (any, error) {
		return nil, errors.New("refused on purpose")
	})
	n.Handle("test.panic", func(context.Context, netip.AddrPort, json.RawMessage) (any, error) {
		panic("on purpose")
	})
	n.Handle("test.hold", func(context.Context, netip.AddrPort, json.RawMessage) (any, error) {
		<-t.Context().Done()
		return nil, nil
	})
	n.Serve(listener)
	t.Cleanup(n.Close)
	return n
}

func assertEcho(t *testing.T, from, to *Node) {
	t.Helper()
	is := is.New(t)
	var answer struct {
		From netip.AddrPort `json:"from"`
		Data string         `json:"data"`
	}
	is.NoErr(from.Call(t.Context(), to.Address(), "test.echo", "hello", &answer))
	is.Equal(answer.Data, "hello")
	is.Equal(answer.From, from.Address())
}

func TestCall(t *testing.T) {
	t.Run("echo", func(t *testing.T) {
		a, b := startNode(t, "k"), startNode(t, "k")
		assertEcho(t, a, b)
		assertEcho(t, b, a)
	})
	t.Run("remoteError", func(t *testing.T) {
		is := is.New(t)
		a, b := startNode(t, "k"), startNode(t, "k")
		err := a.Call(t.Context(), b.Address(), "test.fail", nil, nil)
		is.True(errors.Is(err, ErrRemote))
		assertEcho(t, a, b)
	})
	t.Run("panicIsAnError", func(t *testing.T) {
		is := is.New(t)
		a, b := startNode(t, "k"), startNode(t, "k")
		err := a.Call(t.Context(), b.Address(), "test.panic", nil, nil)
		is.True(errors.Is(err, ErrRemote))
		is.Equal(b.Traffic().Panics.Load(), int64(1))
		assertEcho(t, a, b)
	})
	t.Run("cancelledCallKeepsTheConnection", func(t *testing.T) {
		is := is.New(t)
		a, b := startNode(t, "k"), startNode(t, "k")
		assertEcho(t, a, b)
		kept := a.connections[b.Address()]
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.True(errors.Is(a.Call(ctx, b.Address(), "test.hold", "x", nil), ErrNoAnswer))
		assertEcho(t, a, b)
		is.True(a.connections[b.Address()] == kept)
	})
	t.Run("unreachable", func(t *testing.T) {
		is := is.New(t)
		a, b := startNode(t, "k"), startNode(t, "k")
		b.Close()
		err := a.Call(t.Context(), b.Address(), "test.echo", "hello", nil)
		is.True(errors.Is(err, ErrUnreachable))
	})
	t.Run("overTheBound", func(t *testing.T) {
		is := is.New(t)
		a, b := startNode(t, "k"), startNode(t, "k")
		err := a.Call(t.Context(), b.Address(), "test.echo", make([]byte, maximumMessageBytes), nil)
		is.True(err != nil)
		assertEcho(t, a, b)
	})
}

func TestKeys(t *testing.T) {
	t.Run("wrongKeyIsRefused", func(t *testing.T) {
		is := is.New(t)
		a, b := startNode(t, "k"), startNode(t, "other")
		err := a.Call(t.Context(), b.Address(), "test.echo", "hello", nil)
		is.True(errors.Is(err, ErrUnreachable))
		is.Equal(b.Traffic().CallsIn.Load(), int64(0))
	})
	t.Run("rotation", func(t *testing.T) {
		a, b := startNode(t, "new", "old"), startNode(t, "old", "new")
		assertEcho(t, a, b)
		assertEcho(t, b, a)
	})
	t.Run("unprovenCallerIsNotServed", func(t *testing.T) {
		is := is.New(t)
		b := startNode(t, "k")
		raw, err := net.Dial("tcp", b.Address().String())
		is.NoErr(err)
		defer func() { _ = raw.Close() }()
		is.NoErr(codec{}.WriteObject(raw, json.RawMessage(`{"jsonrpc":"2.0","id":1,"method":"test.echo","params":"x"}`)))
		reply := make([]byte, 512)
		count, err := raw.Read(reply)
		is.NoErr(err)
		is.True(count > 4)
		is.Equal(b.Traffic().CallsIn.Load(), int64(0))
	})
}

// After a late answer the next call must not use the same connection again, which may have gone silent, and must not end the calls that use it.
func TestRenew(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "k"), startNode(t, "k")
	assertEcho(t, a, b)
	accepted := func() int {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return len(b.accepted)
	}
	held := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	go func() { held <- a.Call(ctx, b.Address(), "test.hold", nil, nil) }()
	assertEcho(t, a, b)
	is.Equal(accepted(), 1)
	a.Renew(b.Address())
	assertEcho(t, a, b)
	is.Equal(accepted(), 2)
	is.True(errors.Is(<-held, context.DeadlineExceeded)) // not closed before
	a.Renew(b.Address())
	a.Renew(b.Address()) // of an instance without a connection
	assertEcho(t, a, b)
}

// TestSilentConnection has the first connection go silent for good while new ones work.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	a, b := startNode(t, "k"), startNode(t, "k")
	relay, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var group conc.WaitGroup
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	group.Go(func() {
		conn, err := silent.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	})
	to := silent.Addr().(*net.TCPAddr).AddrPort()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err = a.Call(ctx, to, "test.echo", "hello", nil)
	is.True(errors.Is(err, ErrUnreachable)) // the handshake had no answer, so the call was never sent
	assertEcho(t, a, b)
	_ = silent.Close()
	_ = relay.Close()
	a.Close()
	group.Wait()
}
