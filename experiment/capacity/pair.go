package capacity

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"

	"dogwooddyke/transport/peer"
)

// pair is two connected instances' ends of the peer protocol.
type pair struct {
	caller *peer.Node
	server *peer.Node
}

// newPair serves one method on the server.
func newPair(method string, serve peer.Handler) (*pair, error) {
	caller, err := newNode(nil, "")
	if err != nil {
		return nil, err
	}
	server, err := newNode(serve, method)
	if err != nil {
		caller.Close()
		return nil, err
	}
	return &pair{caller: caller, server: server}, nil
}

func newNode(serve peer.Handler, method string) (*peer.Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	n := peer.NewNode(peer.Config{Address: address, Keys: [][]byte{[]byte("capacity-key-0123456789-0123456789")}})
	if serve != nil {
		n.Handle(method, serve)
	}
	n.Serve(listener)
	return n, nil
}

func (p *pair) call(ctx context.Context, method string, params, result any) error {
	return p.caller.Call(ctx, p.server.Address(), method, params, result)
}

// bytes returns what has passed both ways so far.
func (p *pair) bytes() int64 {
	return p.caller.Traffic().BytesOut.Load() + p.caller.Traffic().BytesIn.Load()
}

func (p *pair) close() {
	p.caller.Close()
	p.server.Close()
}

// exchange calls a method so many times and returns the bytes both ways, or the processor time of both ends in microseconds.
func exchange(ctx context.Context, method string, serve peer.Handler, params any, count int, inBytes bool) (float64, error) {
	p, err := newPair(method, serve)
	if err != nil {
		return 0, err
	}
	defer p.close()
	if err := p.call(ctx, method, params, nil); err != nil {
		return 0, err // the first call dials
	}
	before := p.bytes()
	cost, err := processorCost(func() error {
		for range count {
			if err := p.call(ctx, method, params, nil); err != nil {
				return err
			}
		}
		return nil
	})
	if inBytes {
		return float64(p.bytes() - before), err
	}
	return cost, err
}

// echo answers with what it was asked.
func echo(_ context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
	return params, nil
}
