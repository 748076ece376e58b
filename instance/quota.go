package instance

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"dogwooddyke/coordination/quota"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/process"
	"dogwooddyke/state/ratelimit"
)

// methodPermits is the RPC method by which an instance asks the steward of an engine for permits.
const methodPermits = "quota.ask"

// quotaFleet is what the quota exchange needs to know of the other instances.
type quotaFleet struct {
	instance *Instance
}

// Steward returns the instance that grants the permits of an engine. This one grants none until it has run long enough for the others to
// know it.
func (q quotaFleet) Steward(e process.ID) (netip.AddrPort, bool) {
	steward := q.instance.members.Steward("quota/" + e.String())
	if steward == q.instance.members.Self() && time.Since(q.instance.startedAt) < quotaSettleTime {
		return netip.AddrPort{}, false
	}
	return steward, steward.IsValid()
}

// Size returns the number of live instances. An instance that is cut off goes on to take the others for live.
func (q quotaFleet) Size() (live, silent int) { return max(len(q.instance.members.Live()), 1), 0 }

// quotaNetwork carries asks for permits as RPC calls.
type quotaNetwork struct {
	instance *Instance
}

// SendAsk calls the steward and passes its answer to the exchange. A failed call needs no handling, since the ask expires.
func (q quotaNetwork) SendAsk(to netip.AddrPort, ask []byte) {
	i := q.instance
	i.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
		defer cancel()
		var grant []byte
		if err := i.peers.Call(ctx, to, methodPermits, ask, &grant); err == nil {
			i.quotas.ReceiveGrant(grant, time.Now())
		}
	})
}

// SendGrant does nothing: grants are the results of calls.
func (quotaNetwork) SendGrant(netip.AddrPort, []byte) {}

// servePermits handles methodPermits.
func (i *Instance) servePermits(_ context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
	var ask []byte
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, err
	}
	_, grant, err := i.quotas.Answer(ask, time.Now())
	return grant, err
}

// quotaObserver counts and logs what the quota exchange does.
type quotaObserver struct {
	instance *Instance
}

// RateLimitChanged logs a notable change of an engine's rate limit.
func (q quotaObserver) RateLimitChanged(n ratelimit.News, source string) {
	q.instance.logger.Info("rate limit changed", "address", n.Endpoint.Address, "named", n.Limit.Named, "perSecond", n.Limit.PerSecond, "source", source)
}

// PermitsAsked counts the asks for permits by their result.
func (q quotaObserver) PermitsAsked(result quota.Result, _ int) {
	q.instance.metrics.events.WithLabelValues("permits." + string(result)).Inc()
}

// MessageUnreadable logs a message that could not be encoded or decoded.
func (q quotaObserver) MessageUnreadable(err error) {
	q.instance.logger.Warn("could not decode message about permits", "error", err.Error())
}

// loadRouter is the router, with load reports passed to the quota exchange as well: they name the engine's rate limit.
type loadRouter struct {
	*routing.Router
	quotas *quota.Exchange

	mutex  sync.Mutex
	latest map[netip.AddrPort]time.Time // time of the latest report of each engine, by the engine's clock
}

// UpdateLoad applies a load report.
func (l *loadRouter) UpdateLoad(address netip.AddrPort, load endpoint.Load, now time.Time) {
	l.Router.UpdateLoad(address, load, now)
	if !l.isNewer(address, load.At) {
		return
	}
	news := ratelimit.News{Endpoint: process.ID{Address: address}, At: now}
	if load.RateLimit != nil {
		news.Limit = ratelimit.Limit{Named: true, PerSecond: *load.RateLimit}
	}
	l.quotas.Learn(news, now)
}

// isNewer records the time of a report, and reports whether it is later than that of the latest one.
func (l *loadRouter) isNewer(address netip.AddrPort, at time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !at.After(l.latest[address]) {
		return false
	}
	l.latest[address] = at
	return true
}

// retain forgets the engines that are not among the given ones.
func (l *loadRouter) retain(known map[netip.AddrPort]bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for a := range l.latest {
		if !known[a] {
			delete(l.latest, a)
		}
	}
}

// followEndpoints passes the known endpoints to the quota exchange; the router's entries must be up to date.
func (i *Instance) followEndpoints(now time.Time) {
	addresses := i.router.Endpoints()
	known := make(map[netip.AddrPort]bool, len(addresses))
	endpoints := make([]quota.Endpoint, 0, len(addresses))
	for _, a := range addresses {
		known[a] = true
		endpoints = append(endpoints, quota.Endpoint{Process: process.ID{Address: a}})
	}
	i.loadRouter.retain(known)
	i.quotas.SetEndpoints(endpoints, now)
}

// wireQuotas creates the exchange of permits.
func (i *Instance) wireQuotas() {
	i.quotas = quota.NewExchange(quota.Config{
		Self:      i.members.Self(),
		Router:    i.router,
		Fleet:     quotaFleet{i},
		Network:   quotaNetwork{i},
		Observer:  quotaObserver{i},
		OnNotices: func() {}, // load reports tell the limits to all instances
	})
	i.loadRouter = &loadRouter{Router: i.router, quotas: i.quotas, latest: make(map[netip.AddrPort]time.Time)}
	i.node.Handle(methodPermits, i.servePermits)
}
