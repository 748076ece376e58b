package instance

import (
	"net/netip"
	"time"

	"dogwooddyke/coordination/claim"
	"dogwooddyke/coordination/lease"
	"dogwooddyke/coordination/member"
	"dogwooddyke/coordination/replica"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/coordination/share"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/protocol/call"
	"dogwooddyke/protocol/order"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/transport/caller"
	"dogwooddyke/transport/endpoint"
	"dogwooddyke/transport/operator"
	"dogwooddyke/transport/peer"
	"dogwooddyke/transport/platform"
)

func (i *Instance) wireCatalogue() {
	client := platform.NewMeteredClient(i.meter)
	i.log = platform.NewLog(i.settings.Log, client)
	i.table = catalogue.NewTable(catalogue.Rules{
		Operators:          i.settings.OperatorKeys,
		FormerOperators:    i.settings.FormerOperatorKeys,
		SnapshotKey:        i.settings.PeerKeys[0],
		FormerSnapshotKeys: i.settings.PeerKeys[1:],
	})
	i.empty = i.table.View()
	i.view.Store(i.empty)
	i.members = member.New(i.settings.Peers, i.table)
	i.peers = evidence{node: i.node, members: i.members}
	i.replica = replica.New(replica.Options{
		Table:            i.table,
		Log:              i.log,
		Members:          i.members,
		Peers:            i.peers,
		Observer:         &replicaObserver{instance: i},
		SnapshotInterval: i.settings.SnapshotInterval,
	})
	i.loops = &member.Loops{
		Members:  i.members,
		Roster:   roster{platform.NewRoster(i.settings.Roster, client)},
		Peers:    i.node,
		Position: i.position,
		Ahead:    i.replica.Hint,
		Observer: memberObserver{i.metrics},
	}
	i.node.Handle(member.MethodHeartbeat, i.loops.ServeHeartbeat)
	i.node.Handle(replica.MethodPush, i.replica.ServePush)
	i.node.Handle(replica.MethodFetch, i.replica.ServeFetch)
}

func (i *Instance) wireRouting() {
	i.router = routing.New(routing.Config{
		Self:       i.settings.Peers,
		DataCentre: i.settings.DataCentre,
		SubsetSize: i.settings.Subset,
		Observer:   &routingObserver{instance: i},

		OnPermitsWanted: func() { i.quotas.Want() },
	})
	i.clients.OnRest = func(e netip.AddrPort, until time.Time) { i.router.ExtendRest(e, until, time.Now()) }
	i.wireQuotas()
	i.wireQuarantine()
	i.shares = share.NewExchange(i.peers, i.members, i.loadRouter)
	i.loads = endpoint.NewLoads(i.clients)
	i.node.Handle(share.Method, i.shares.Serve)
}

func (i *Instance) wireAnswers() error {
	signer, err := answer.NewSigner(currentAndPrevious(i.settings.TokenKeys))
	if err != nil {
		return err
	}
	i.signer = signer
	i.runner = &answer.Runner{
		Engines:       endpoint.NewEngines(i.clients),
		Router:        &slots{instance: i},
		RetryBudgets:  &answer.RetryBudgets{},
		Signer:        signer,
		Quarantine:    i.quarantine,
		Observer:      &answerObserver{metrics: i.metrics, ring: i.ring},
		Peers:         i.peers,
		Self:          i.settings.Peers,
		Grace:         i.settings.Grace,
		TokenLifetime: i.settings.ResumeWindow,
	}
	i.node.Handle(answer.MethodResumed, i.runner.ServeResumed)
	return nil
}

// wireOrders gives this instance its part in the leases, and the orders of those that it holds.
func (i *Instance) wireOrders() {
	i.leases = lease.New(i.log, i.members, i.table, leaseObserver{i})
	i.orders = order.NewRunner(order.Options{
		Catalogue:      i,
		Leases:         i.leases,
		Leaving:        i.members,
		Engines:        endpoint.NewOrders(i.clients),
		Observer:       orderObserver{i.metrics},
		PullsPerSecond: i.settings.PullsPerSecond,
	})
}

func (i *Instance) wireCalls() error {
	steward, err := claim.NewSteward(i.log, i.members, claimObserver{i}, claim.Settings{
		Partitions:       i.settings.ClaimPartitions,
		AppendsPerSecond: i.settings.ClaimAppends,
		Window:           i.settings.ClaimWindow,
	})
	if err != nil {
		return err
	}
	i.steward = steward
	i.claims = claim.NewClient(steward, i.peers)
	i.calls = &call.Runner{
		Services:     endpoint.NewServices(i.clients),
		Router:       &slots{instance: i},
		RetryBudgets: &answer.RetryBudgets{},
		Claims:       i.claims,
		Quarantine:   i.quarantine,
		Observer:     callObserver{metrics: i.metrics, ring: i.ring},
	}
	i.node.Handle(claim.MethodGrant, steward.ServeGrant)
	i.node.Handle(claim.MethodSettle, steward.ServeSettle)
	return nil
}

func (i *Instance) wireCallers() error {
	i.handler = caller.NewHandler(caller.Config{
		Answers:          i.runner,
		Calls:            i.calls,
		Tokens:           i.signer,
		Catalogue:        i,
		Observer:         i.metrics,
		MaximumBodyBytes: i.settings.MaximumBodyBytes,
		MaximumStreams:   i.settings.MaximumStreams,
	}, i.Able)
	i.callers = caller.NewServer(i.handler)
	keeper, err := keeperOf(i.settings.CallerFiles)
	if err != nil || keeper == nil {
		return err
	}
	i.keepers = append(i.keepers, keeper)
	i.callers.TLSConfig = keeper.Server("h2", "http/1.1")
	return nil
}

func (i *Instance) wirePeers() error {
	config := peer.Config{Address: i.settings.Peers, Keys: i.settings.PeerKeys}
	keeper, err := keeperOf(i.settings.PeerFiles)
	if err != nil {
		return err
	}
	if keeper != nil {
		i.keepers = append(i.keepers, keeper)
		config.ServerTLS = keeper.Server()
		config.ClientTLS = keeper.Client()
	}
	i.node = peer.NewNode(config)
	i.node.Handle(methodExplain, i.serveExplain)
	return nil
}

func (i *Instance) wireOperators() {
	i.operators = operator.NewServer(operator.Config{
		Registry: i.metrics.registry,
		Ready:    i.Ready,
		Status:   i.status,
		Explain:  i.explain,
	})
}
