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

// Peers calls methods on other instances.
type Peers interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Router is what an exchange reads demand from and gives shares to.
type Router interface {
	DemandSource
	SetShare(address netip.AddrPort, share endpoint.Share, now time.Time)
	SetLimitShare(key routing.LimitKey, share workspace.Share, now time.Time)
	UpdateLoad(address netip.AddrPort, load endpoint.Load, now time.Time)
}

// Exchange asks stewards for this instance's shares and is steward for others'.
// Lock order: its lock is taken before the router's, and never held during a call.
type Exchange struct {
	peers    Peers
	stewards Stewards
	router   Router
	mu       sync.Mutex
	steward  *Steward
	holder   *Holder
	leaving  bool
}

// NewExchange returns an exchange; Round has to be called every 50 to 100 ms.
func NewExchange(peers Peers, stewards Stewards, router Router) *Exchange {
	return &Exchange{
		peers:    peers,
		stewards: stewards,
		router:   router,
		steward:  NewSteward(),
		holder:   NewHolder(stewards),
	}
}

// SetInstances says how many instances share.
func (e *Exchange) SetInstances(count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steward.SetInstances(count)
}

// EndpointsToPoll lists the endpoints whose load this instance has to poll: as their steward, or because their steward is out of reach.
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

// UpdateLoad takes in a polled load, for the steward's part and for the router's.
func (e *Exchange) UpdateLoad(address netip.AddrPort, load endpoint.Load, now time.Time) {
	e.mu.Lock()
	e.steward.UpdateLoad(address, load, now)
	e.mu.Unlock()
	e.router.UpdateLoad(address, load, now)
}

// Round asks the stewards whose turn it is, all at once, and returns when they answered or the time limit of a call passed.
func (e *Exchange) Round(ctx context.Context, now time.Time) {
	e.mu.Lock()
	leaving := e.leaving
	var requests map[netip.AddrPort]*Request
	if !leaving {
		requests = e.holder.DueRequests(e.router, now)
	}
	e.mu.Unlock()
	e.send(ctx, requests, now)
}

func (e *Exchange) send(ctx context.Context, requests map[netip.AddrPort]*Request, now time.Time) {
	var calls conc.WaitGroup
	for to, request := range requests {
		calls.Go(func() { e.ask(ctx, to, request, now) })
	}
	calls.Wait()
}

// ask calls one steward; without an answer the shares run out on their own.
func (e *Exchange) ask(ctx context.Context, to netip.AddrPort, request *Request, now time.Time) {
	reply := Reply{}
	if to == e.stewards.Self() {
		reply = e.serve(request, now)
	} else {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := e.peers.Call(ctx, to, Method, request, &reply); err != nil {
			return
		}
	}
	e.take(&reply, time.Now())
}

func (e *Exchange) take(reply *Reply, now time.Time) {
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

func (e *Exchange) serve(request *Request, now time.Time) Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.steward.Handle(request, now)
}

// Serve answers a peer's share.ask.
func (e *Exchange) Serve(_ context.Context, from netip.AddrPort, params json.RawMessage) (any, error) {
	request := &Request{}
	if err := json.Unmarshal(params, request); err != nil {
		return nil, oops.Wrapf(err, "share.ask from %s", from)
	}
	if len(request.Endpoints) > maximumAsks || len(request.Limits) > maximumAsks || len(request.Handover) > maximumAsks {
		return nil, oops.Errorf("share.ask from %s: more than %d lines", from, maximumAsks)
	}
	return e.serve(request, time.Now()), nil
}

// HandOver passes on what this instance granted; call it at the start of a drain, when Stewards names the next stewards.
func (e *Exchange) HandOver(ctx context.Context, now time.Time) {
	e.mu.Lock()
	requests := make(map[netip.AddrPort]*Request)
	for _, held := range e.steward.UnexpiredShares(now) {
		request := e.holder.request(requests, EndpointKey(held.Endpoint))
		request.Handover = append(request.Handover, held)
	}
	e.mu.Unlock()
	e.send(ctx, requests, now)
}

// Leave gives back this instance's shares; call it at the end of a drain, when nothing runs any more.
func (e *Exchange) Leave(ctx context.Context, now time.Time) {
	e.mu.Lock()
	e.leaving = true
	requests := e.holder.ReleaseRequests()
	e.mu.Unlock()
	e.send(ctx, requests, now)
}
