package instance

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/claim"
	"dogwooddyke/coordination/lease"
	"dogwooddyke/coordination/member"
	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/coordination/quota"
	"dogwooddyke/coordination/replica"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/coordination/share"
	"dogwooddyke/internal/wait"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/protocol/call"
	"dogwooddyke/protocol/order"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/explanation"
	"dogwooddyke/transport/caller"
	"dogwooddyke/transport/certificate"
	"dogwooddyke/transport/endpoint"
	"dogwooddyke/transport/peer"
	"dogwooddyke/transport/platform"
	"dogwooddyke/transport/traffic"
)

// How a request flows:
//
//	caller -> transport/caller   authenticates, checks the body, makes an answer.Request
//	       -> protocol/answer    carries the answer from state to state until its end
//	       -> coordination/routing queues it, chooses an endpoint, gives a slot
//	       -> transport/endpoint dispatches it to the engine and reads the tokens
//	       -> protocol/answer    passes each token once, in order, from one generation
//	       -> transport/caller   writes it to the caller with a resume token
//
// How news flows:
//
//	log    -> coordination/replica -> state/catalogue -> the router's entries (a change in force)
//	list   -> coordination/member  -> who is live, who is steward of what
//	engine -> the endpoint's steward -> share.ask -> each instance's router
//	log    -> coordination/lease   -> protocol/order   -> the engines of an entry, by its leaseholder
//	log    -> coordination/claim   -> protocol/call    -> a plain service, at most once for a key
//
// Lock order: Instance.mutex is taken before nothing else.

// Instance is one running instance of the system.
type Instance struct {
	settings *Settings
	logger   *slog.Logger
	metrics  *metrics
	ring     *explanation.Ring

	table   *catalogue.Table
	replica *replica.Replica
	members *member.Members
	loops   *member.Loops
	router  *routing.Router
	shares  *share.Exchange
	quotas  *quota.Exchange

	quarantine *quarantine.Exchange
	loads      *endpoint.Loads

	loadRouter *loadRouter // the router, for load reports
	startedAt  time.Time
	runner     *answer.Runner
	log        *platform.Log
	claims     *claim.Client
	steward    *claim.Steward
	calls      *call.Runner
	leases     *lease.Leases
	orders     *order.Runner
	signer     *answer.Signer
	clients    *endpoint.Clients
	meter      *traffic.Meter // of control over HTTP
	node       *peer.Node
	peers      evidence
	handler    *caller.Handler

	keepers   []*certificate.Keeper
	callers   *http.Server
	operators *http.Server
	listeners Listeners

	stop       context.CancelFunc
	stopOrders context.CancelFunc
	group      conc.WaitGroup

	empty *catalogue.View                // in force until there is another
	view  atomic.Pointer[catalogue.View] // the one in force, which the router works by

	mutex sync.Mutex
	state state
}

// state is a stage in an instance's life.
type state int

const (
	stateRunning state = iota
	stateNotice
	stateDraining
)

// New wires an instance; nothing runs before Start.
func New(settings *Settings, listeners Listeners, logger *slog.Logger) (*Instance, error) {
	i := &Instance{
		settings:  settings,
		logger:    logger.With("instance", settings.Peers.String()),
		metrics:   newMetrics(),
		ring:      explanation.NewRing(settings.Explanations),
		listeners: listeners,
		meter:     newMeter(),
		startedAt: time.Now(),
	}
	i.clients = endpoint.NewMeteredClients(i.meter)
	if err := i.wirePeers(); err != nil {
		return nil, err
	}
	i.wireCatalogue()
	i.wireRouting()
	i.wireOrders()
	if err := i.wireAnswers(); err != nil {
		return nil, err
	}
	if err := i.wireCalls(); err != nil {
		return nil, err
	}
	if err := i.wireCallers(); err != nil {
		return nil, err
	}
	i.wireOperators()
	i.registerGauges()
	return i, nil
}

// Start begins to listen and to follow the platform.
func (i *Instance) Start(ctx context.Context) {
	ctx, i.stop = context.WithCancel(ctx)
	i.node.Serve(i.listeners.Peers)
	i.keep(ctx, "members", i.loops.Run)
	i.keep(ctx, "catalogue", i.replica.Run)
	i.keep(ctx, "tick", i.tick)
	i.keep(ctx, "shares", i.exchangeShares)
	i.keep(ctx, "permits", i.quotas.Run)
	i.keep(ctx, "quarantine", i.quarantine.Run)
	i.keep(ctx, "loads", i.pollLoads)
	i.keep(ctx, "caches", i.pollCaches)
	i.keep(ctx, "leaving", i.watchLeaving)
	i.keep(ctx, "leases", i.leases.Run)
	orders, stopOrders := context.WithCancel(ctx)
	i.stopOrders = stopOrders
	i.keep(orders, "orders", i.orders.Run)
	i.group.Go(func() { i.serve(i.callers, i.listeners.Callers) })
	i.group.Go(func() { i.serve(i.operators, i.listeners.Operators) })
	i.logger.Info("started", "dataCentre", i.settings.DataCentre, "callers", i.settings.Callers, "operators", i.settings.Operators)
}

// Drain ends the instance's part in the fleet and returns when all requests in progress have ended, or with the context.
// Until the notice period is over the instance says that it is not ready but still takes work, so that the platform's
// balancer can turn away first; then new work is refused.
func (i *Instance) Drain(ctx context.Context) error {
	if i.setState(stateNotice, stateRunning) {
		i.logger.Info("draining", "inFlight", i.handler.InFlight())
		i.handler.SetUnready(true)
		now := time.Now()
		i.members.Drain(now)
		i.shares.HandOver(ctx, now)
		if err := wait.For(ctx, i.settings.Notice); err != nil {
			return err
		}
		i.setState(stateDraining, stateNotice)
		i.handler.Drain()
		i.router.SetDraining(true, time.Now())
	}
	for i.handler.InFlight() > 0 {
		if err := wait.For(ctx, drainPoll); err != nil {
			return err
		}
	}
	i.handOn(ctx)
	return ctx.Err()
}

// handOn ends what this instance does for others; nothing of its own callers is in progress any more.
func (i *Instance) handOn(ctx context.Context) {
	i.stopOrders()
	i.runner.Wait()
	i.claims.Wait()
	i.steward.Drain(ctx)
	i.shares.Leave(ctx, time.Now())
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	i.leases.Drain(ctx)
}

// setState moves from one state to the next and tells whether it did.
func (i *Instance) setState(to, from state) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.state != from {
		return false
	}
	i.state = to
	return true
}

// Close ends the instance at once; after Drain it cuts nothing off.
func (i *Instance) Close() {
	i.stop()
	_ = i.callers.Close()
	_ = i.operators.Close()
	i.node.Close()
	i.clients.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	i.steward.Drain(ended)
	i.group.Wait()
	i.logger.Info("stopped")
}

// Ready tells whether the balancer should send work here.
func (i *Instance) Ready() bool {
	return i.running() && i.Able()
}

// running tells whether no drain has begun.
func (i *Instance) running() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.state == stateRunning
}

// Able tells whether there is a catalogue to serve by; during a drain's notice period the instance is able, but not ready.
func (i *Instance) Able() bool {
	return i.View() != i.empty && i.replica.Ready()
}

// View returns the catalogue in force.
func (i *Instance) View() *catalogue.View { return i.view.Load() }

func (i *Instance) serve(server *http.Server, listener net.Listener) {
	var err error
	if server.TLSConfig != nil {
		err = server.ServeTLS(listener, "", "")
	} else {
		err = server.Serve(listener)
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		i.logger.Error("listener failed", "address", listener.Addr().String(), "error", err)
	}
}

// position says how far this instance's catalogue is.
func (i *Instance) position() member.Position {
	v := i.table.View()
	return member.Position{Offset: v.Offset, Digest: v.Digest}
}
