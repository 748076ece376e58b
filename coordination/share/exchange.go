package share

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/workspace"
)

// Peers calls RPC methods on other instances.
type Peers interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Router is the source of demands, and receives the granted shares and polled loads.
type Router interface {
	DemandSource
	SetShare(address netip.AddrPort, share endpoint.Share, now time.Time)
	SetLimitShare(key routing.LimitKey, share workspace.Share, now time.Time)
	UpdateLoad(address netip.AddrPort, load endpoint.Load, now time.Time)
}

// Exchange asks the stewards for this instance's shares, and acts as the steward of the endpoints and limits assigned to this instance.
// Lock order: mu is acquired before the router's lock, and is not held during a call to a peer.
type Exchange struct {
	peers    Peers
	stewards Stewards
	router   Router
	mu       sync.Mutex // guards the fields below
	steward  *Steward
	holder   *Holder
	leaving  bool // whether the shares have been released, so that no more are asked for
}

// NewExchange returns an exchange; the caller must call Round every 50 to 100 ms.
func NewExchange(peers Peers, stewards Stewards, router Router) *Exchange {
	return &Exchange{
		peers:    peers,
		stewards: stewards,
		router:   router,
		steward:  NewSteward(),
		holder:   NewHolder(stewards),
	}
}

// SetInstances sets the number of instances that may hold shares.
func (e *Exchange) SetInstances(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steward.SetInstances(count)
}

// EndpointsToPoll returns the endpoints whose load this instance has to poll, as their steward or because their steward is unreachable.
func (e *Exchange) EndpointsToPoll(now time.Time) []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	addresses := e.steward.EndpointsToPoll(now)
	known := make(map[netip.AddrPort]bool, len(addresses))
	for _, address := range addresses {
		known[address] = true
	}
	for _, address := range e.holder.WithUnreachableSteward(now) {
		if !known[address] {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// UpdateLoad passes a polled load to the steward and to the router.
func (e *Exchange) UpdateLoad(address netip.AddrPort, load endpoint.Load, now time.Time) {
	e.mu.Lock()
	e.steward.UpdateLoad(address, load, now)
	e.mu.Unlock()
	e.router.UpdateLoad(address, load, now)
}

// Round sends all due requests to the stewards concurrently, and returns when each of them has been answered or has timed out.
func (e *Exchange) Round(ctx context.Context, now time.Time) {
	e.mu.Lock()
	leaving := e.leaving
	var requests map[netip.AddrPort]*Request
	if !leaving {
		requests = e.holder.DueRequests(e.router, now)
	}
	e.mu.Unlock()
	e.sendAll(ctx, requests, now)
}

// sendAll sends the requests to the stewards concurrently and applies the replies.
func (e *Exchange) sendAll(ctx context.Context, requests map[netip.AddrPort]*Request, now time.Time) {
	var calls conc.WaitGroup
	for to, request := range requests {
		calls.Go(func() { e.ask(ctx, to, request, now) })
	}
	calls.Wait()
}

// ask sends a request to one steward and applies the reply. A failed call needs no handling, since the shares expire.
func (e *Exchange) ask(ctx context.Context, to netip.AddrPort, request *Request, now time.Time) {
	reply := Reply{}
	if to == e.stewards.Self() {
		reply = e.handle(request, now)
	} else {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := e.peers.Call(ctx, to, Method, request, &reply); err != nil {
			return
		}
	}
	e.applyReply(&reply, time.Now())
}

// applyReply stores the granted shares and passes them and the polled loads to the router.
func (e *Exchange) applyReply(reply *Reply, now time.Time) {
	e.mu.Lock()
	e.holder.ApplyReply(reply)
	e.mu.Unlock()
	for _, g := range reply.Endpoints {
		if g.Load != nil {
			e.router.UpdateLoad(g.Endpoint, *g.Load, now)
		}
		e.router.SetShare(g.Endpoint, g.Share, now)
	}
	for _, g := range reply.Limits {
		e.router.SetLimitShare(routing.LimitKey{Workspace: g.Workspace, Entry: g.Entry}, g.Share, now)
	}
}

// handle answers a request with this instance's steward.
func (e *Exchange) handle(request *Request, now time.Time) Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.steward.Handle(request, now)
}

// Serve answers a peer's share.ask call; it returns an error if the request is malformed or too long.
func (e *Exchange) Serve(_ context.Context, from netip.AddrPort, params json.RawMessage) (any, error) {
	request := &Request{}
	if err := json.Unmarshal(params, request); err != nil {
		return nil, oops.Wrapf(err, "could not decode share.ask from %s", from)
	}
	if len(request.Endpoints) > maximumAsks || len(request.Limits) > maximumAsks || len(request.Handover) > maximumAsks {
		return nil, oops.Errorf("share.ask from %s has more than %d endpoints, limits or handed over shares", from, maximumAsks)
	}
	return e.handle(request, time.Now()), nil
}

// HandOver sends the unexpired shares of endpoints that this instance has granted to the next stewards of these endpoints. The caller must
// call it at the start of a drain, when Stewards already returns the next stewards.
func (e *Exchange) HandOver(ctx context.Context, now time.Time) {
	e.mu.Lock()
	requests := make(map[netip.AddrPort]*Request)
	for _, held := range e.steward.UnexpiredShares(now) {
		request := e.holder.requestFor(requests, EndpointKey(held.Endpoint))
		request.Handover = append(request.Handover, held)
	}
	e.mu.Unlock()
	e.sendAll(ctx, requests, now)
}

// Leave releases this instance's shares. The caller must call it at the end of a drain, when no request is running.
func (e *Exchange) Leave(ctx context.Context, now time.Time) {
	e.mu.Lock()
	e.leaving = true
	requests := e.holder.ReleaseRequests()
	e.mu.Unlock()
	e.sendAll(ctx, requests, now)
}
