package hosted

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"
	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/coordination/quota"
	"dogwooddyke/coordination/resumption"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/coordination/shutdown"
	"dogwooddyke/coordination/standing"
	"dogwooddyke/internal/wait"
	"dogwooddyke/platform"
	"dogwooddyke/protocol/relay"
	"dogwooddyke/state/evacuation"
	"dogwooddyke/state/memory"
	"dogwooddyke/state/position"
	"dogwooddyke/state/process"
	"dogwooddyke/state/ratelimit"
	"dogwooddyke/state/roster"
	"dogwooddyke/state/route"
	"dogwooddyke/transport/peer"
)

// How a request flows:
//
//	client -> platform.Front       finds the route and workspace, reads the body, creates a relay.Request
//	       -> protocol/relay       dispatches the request, forwards the response, moves the run to other endpoints
//	       -> coordination/routing queues the request and chooses an endpoint
//	       -> platform.Engines     calls the endpoint
//
// How the catalogue and the endpoint list flow:
//
//	log -> consumer -> state/route, state/evacuation, state/roster -> the router's entries
//
// Lock order: Instance.mutex is locked before the mutex of the gossiper, that one before the mutexes of quotas, the quarantine and the standings, and these before
// the mutexes of the roster, the evacuations and the router.

// Instance holds the components of one instance and runs them.
type Instance struct {
	settings         *platform.Settings
	logger           *slog.Logger
	lines            LineQueue     // of the logger
	log              *platform.Log // the platform's append-only log
	roster           *roster.Table
	evacuations      *evacuation.Table
	router           *routing.Router
	runner           *relay.Runner
	front            *platform.Front
	memory           *memory.Budget // of what is held for slow callers
	observer         *observer
	gossiper         *gossiper
	quotas           *quota.Exchange
	standings        *standing.Exchange
	engines          *platform.Engines
	quarantine       *quarantine.Exchange
	resumption       *resumption.Exchange
	sharers          *sharers
	scheduler        *moveScheduler
	callerServer     *http.Server
	callerListener   net.Listener
	connections      *connections // of callers
	readinessServer  *http.Server
	metricsServer    *http.Server
	node             *peer.Node                        // RPC calls between instances
	table            atomic.Pointer[route.Table]       // current catalogue, decoded; nil until one is known
	catalogue        atomic.Pointer[servedCatalogue]   // current catalogue, encoded for peers; nil until one is known
	latestRead       atomic.Pointer[time.Time]         // time of the latest known read of the endpoint list by any instance; nil until this one has read it
	latestOwnRead    atomic.Pointer[time.Time]         // time of this instance's latest read of the endpoint list; nil: none
	readPosition     atomic.Pointer[position.Position] // log position up to which this instance has read the endpoint list; nil: not read
	fetched          atomic.Pointer[position.Position] // log position up to which the latest fetched state knew the endpoints; nil: none
	catalogueRead    atomic.Pointer[position.Position] // log position up to which this instance itself has read the catalogue's topic; nil: not read
	operatorPosition atomic.Pointer[position.Position] // log position up to which this instance has read or fetched what the operators wrote; nil: neither
	listLost         atomic.Bool                       // whether reads of the endpoint list fail
	restored         chan struct{}                     // receives requests to register in the log again after it was restored
	restoredAt       atomic.Pointer[time.Time]         // time of the latest restore of the log whose lists do not agree yet; nil: none
	listed           atomic.Bool                       // whether the endpoint list has been read or fetched at least once
	listedSince      atomic.Pointer[time.Time]         // time since which this instance has read the endpoint list; nil: it has not
	restartCatalogue chan struct{}                     // receives requests to restart the current read of the catalogue's topic
	registered       chan struct{}                     // closed once this instance has registered in the log, or has waited for registrationGrace
	registeredOnce   sync.Once
	othersListed     atomic.Bool   // whether the log has listed the registered instances
	initialized      chan struct{} // closed once the catalogue and the endpoint list are known
	initializedOnce  sync.Once
	latestFetch      time.Time     // time of the latest fetch of another instance's state; used by syncWithPeers only
	renewSharesAt    time.Time     // time at which the shares are updated without a report; used by tick only
	news             chan struct{} // receives a value when a report shows a change that this instance does not know
	draining         atomic.Bool
	plan             atomic.Pointer[shutdown.Plan] // of the stop in progress; nil: none
	closing          context.Context               // done when requests without an answer must get one, since the instance closes
	close            context.CancelFunc
	ending           context.Context // done when answers that have begun are ended
	end              context.CancelFunc
	closed           context.Context // done when callers' connections are closed
	cut              context.CancelFunc
	group            conc.WaitGroup
	stop             context.CancelFunc

	mutex         sync.Mutex                // serializes updates of table, catalogue and the router's entries
	routerEntries map[string]*route.Service // services with an entry of the router
}

// New returns an instance that does nothing until Start is called.
func New(settings *platform.Settings, logger *slog.Logger) *Instance {
	i := &Instance{
		settings:         settings,
		logger:           logger,
		lines:            noQueue{},
		roster:           roster.NewTable(),
		evacuations:      evacuation.NewTable(),
		memory:           memory.NewBudget(int64(heldMemoryFraction * float64(settings.MemoryBytes))),
		sharers:          newSharers(settings.DataCentre),
		routerEntries:    make(map[string]*route.Service),
		registered:       make(chan struct{}),
		initialized:      make(chan struct{}),
		restartCatalogue: make(chan struct{}, 1),
		restored:         make(chan struct{}, 1),
		news:             make(chan struct{}, 1),
	}
	i.closing, i.close = context.WithCancel(context.Background())
	i.ending, i.end = context.WithCancel(context.Background())
	i.closed, i.cut = context.WithCancel(context.Background())
	i.router = routing.New(routing.Config{
		Self:            peerAddress(settings),
		DataCentre:      settings.DataCentre,
		PromptWeight:    promptWeight,
		OnPermitsWanted: func() { i.quotas.Want() },
	})
	i.log = platform.NewLog(settings.Log, i.logRestored)
	i.observer = newObserver(logger)
	i.gossiper = newGossiper(i)
	i.quotas = i.newQuotas()
	i.engines = platform.NewEngines(i.stated)
	i.standings = i.newStandings()
	i.quarantine = i.newQuarantine()
	i.resumption = i.newResumption()
	i.node = peer.NewNode(peer.Config{Address: i.gossiper.self, Keys: [][]byte{[]byte(settings.PeerKey)}})
	i.node.Handle(methodState, i.serveState)
	i.scheduler = newMoveScheduler(i.gossiper)
	i.observer.onGenerationDispatched = i.gossiper.reportUse
	i.registerCounts()
	i.observer.rateLimit = func(e process.ID) ratelimit.Limit { return i.quotas.Limit(e, time.Now()) }
	i.runner = &relay.Runner{
		Endpoints:     i.engines,
		Router:        i.router,
		Roster:        rosterAdapter{i.roster, i.evacuations},
		Budgets:       &relay.Budgets{},
		RetryLimits:   i.retryLimits,
		Drain:         settings.Drain,
		MoveScheduler: i.scheduler,
		Quarantine:    i.quarantine,
		Streams:       streams{i.resumption, i.observer},
		Memory:        i.memory,
		Observer:      i.observer,
		Closing:       i.closing,
		Ending:        i.ending,
		Closed:        i.closed,
	}
	i.connections = newConnections()
	i.front = &platform.Front{Catalogue: i.table.Load, Known: i.initialized, Runner: i, Memory: i.memory, Observer: i.observer, Closing: i.closing, Stopping: i.connections.stopping.Load}
	i.callerServer = &http.Server{
		ConnContext:       i.connections.context,
		ConnState:         i.connections.changed,
		Handler:           i.connections.guard(i.front),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maximumHeaderBytes,
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelDebug),
	}
	i.metricsServer = &http.Server{Handler: i.metricsHandler(), ReadHeaderTimeout: readHeaderTimeout}
	i.readinessServer = &http.Server{Handler: platform.Readiness(i.Ready), ReadHeaderTimeout: readHeaderTimeout}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	return i
}

// Start opens the instance's listeners and starts to consume the platform's log; it returns an error if an address can't be bound.
func (i *Instance) Start(ctx context.Context) error {
	ctx, i.stop = context.WithCancel(ctx)
	for _, s := range []struct {
		address netip.AddrPort
		server  *http.Server
	}{{i.settings.Callers, i.callerServer}, {i.settings.Readiness, i.readinessServer}, {i.settings.Metrics, i.metricsServer}} {
		if !s.address.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", s.address.String())
		if err != nil {
			return oops.In("hosted").With("address", s.address).Wrap(err)
		}
		if s.server == i.callerServer {
			listener = trackingListener{listener, i.connections}
			i.callerListener = listener
		}
		i.group.Go(func() { i.serve(s.server, listener) })
	}
	if err := i.gossiper.open(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", i.gossiper.self.String())
	if err != nil {
		return oops.In("hosted").With("address", i.gossiper.self).Wrap(err)
	}
	i.node.Serve(listener)
	i.group.Go(i.gossiper.receiveReports)
	i.group.Go(func() { i.syncWithPeers(ctx) })
	i.group.Go(func() { i.gossiper.sendReports(ctx) })
	i.group.Go(func() { i.gossiper.sendBundles(ctx) })
	i.group.Go(func() { i.register(ctx) })
	i.group.Go(func() { i.consumeCatalogue(ctx) })
	i.group.Go(func() { i.checkCatalogue(ctx) })
	i.group.Go(func() { i.consumeEndpoints(ctx) })
	i.group.Go(func() { i.quotas.Run(ctx) })
	i.group.Go(func() { i.standings.Run(ctx) })
	i.group.Go(func() { i.quarantine.Run(ctx) })
	i.group.Go(func() { i.resumption.Run(ctx) })
	i.group.Go(func() { i.tick(ctx) })
	i.logger.Info("started", "dataCentre", i.settings.DataCentre)
	return nil
}

func (i *Instance) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		i.logger.Error("listener failed", "address", listener.Addr().String(), "error", err.Error())
	}
}

// metricsHandler returns the handler that serves the metrics.
func (i *Instance) metricsHandler() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(i.observer.metrics.registry, promhttp.HandlerOpts{}))
	return router
}

// Ready reports whether the load balancer should send connections to this instance.
func (i *Instance) Ready() bool {
	return !i.draining.Load() && i.table.Load() != nil && i.listed.Load()
}

// Serve runs a request until it has ended and returns its result.
func (i *Instance) Serve(r *http.Request, request *relay.Request, sink relay.Sink) relay.Result {
	result := i.runner.Run(r.Context(), request, sink)
	i.observer.ended(request, &result)
	return result
}

// tick does the periodic work until the context ends.
func (i *Instance) tick(ctx context.Context) {
	for wait.For(ctx, i.tickInterval()) == nil {
		now := time.Now()
		i.roster.Expire(missingGrace, now)
		i.expireEvacuations(now)
		i.quotas.Expire(now)
		i.standings.Expire(now)
		i.checkSettled(now)
		i.renewShares(now)
		i.router.Tick(now)
	}
}

// tickInterval returns the time until the next tick, which is longer while no request waits for a place.
func (i *Instance) tickInterval() time.Duration {
	if i.router.QueueSize() > 0 {
		return queueTickInterval
	}
	return idleTickInterval
}

// retryLimits returns the limits of the retry budget that all instances share. Instances whose reports do not arrive count, since
// they may spend their parts; an instance that knows no other and has not read from the log whether there are any has no part yet.
func (i *Instance) retryLimits() relay.RetryLimits {
	live, silent := i.gossiper.fleetSize(time.Now())
	limits := relay.RetryLimits{
		Ratio:     i.settings.RetryRatio,
		Extra:     i.settings.ExtraRetries,
		Window:    i.settings.RetryWindow,
		Instances: live + silent,
	}
	if limits.Instances == 1 && !i.othersListed.Load() {
		limits.Extra = 0
	}
	return limits
}
