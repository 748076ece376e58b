package control

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/lease"
	"dogwooddyke/coordination/member"
	"dogwooddyke/coordination/replica"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/transport/peer"
	"dogwooddyke/transport/platform"
)

// node is the agreeing part of one instance.
type node struct {
	address    netip.AddrPort
	peers      *peer.Node
	members    *member.Members
	loops      *member.Loops
	replica    *replica.Replica
	leases     *lease.Leases
	table      *catalogue.Table
	counters   map[string]*counter
	transports []*http.Transport
	cancel     context.CancelFunc
	group      conc.WaitGroup
	startedAt  time.Time

	mu      sync.Mutex // guards all below; taken before nothing else
	folded  map[uint64]time.Time
	readyAt time.Time
	readyTo uint64 // offset when it first followed the log
	shown   uint64 // highest revision seen by the run
}

// newNode starts the parts of an instance against the platform's services.
func (f *fleet) newNode() (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{
		address:  netip.MustParseAddrPort(listener.Addr().String()),
		counters: map[string]*counter{},
		folded:   map[uint64]time.Time{},

		startedAt: time.Now(),
		table:     catalogue.NewTable(catalogue.Rules{SnapshotKey: []byte(peerKey)}),
	}
	n.peers = peer.NewNode(peer.Config{Address: n.address, Keys: [][]byte{[]byte(peerKey)}})
	n.members = member.New(n.address, n.table)
	n.replica = replica.New(replica.Options{
		Table: n.table, Log: platform.NewLog(f.logURL, n.client(kindCatalogue)), Members: n.members, Peers: n.peers, Observer: n,
	})
	n.loops = &member.Loops{
		Members: n.members, Roster: list{platform.NewRoster(f.listURL, n.client(kindList))}, Peers: n.peers,
		Position: n.position, Ahead: n.replica.Hint, Observer: n,
	}
	n.leases = lease.New(platform.NewLog(f.logURL, n.client(kindLeases)), n.members, n, n)
	n.peers.Handle(member.MethodHeartbeat, n.loops.ServeHeartbeat)
	n.peers.Handle(replica.MethodPush, n.replica.ServePush)
	n.peers.Handle(replica.MethodFetch, n.replica.ServeFetch)
	n.peers.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.group.Go(func() { n.loops.Run(ctx) })
	n.group.Go(func() { n.replica.Run(ctx) })
	n.group.Go(func() { n.leases.Run(ctx) })
	return n, nil
}

func (n *node) client(kind string) *http.Client {
	c := &counter{}
	n.counters[kind] = c
	client, transport := c.client()
	n.transports = append(n.transports, transport)
	return client
}

// close ends the node at once, as a crash does.
func (n *node) close() {
	n.cancel()
	n.peers.Close()
	n.group.Wait()
	for _, t := range n.transports {
		t.CloseIdleConnections()
	}
}

// bytes returns what passed so far of a kind of traffic.
func (n *node) bytes(kind string) int64 {
	if kind == kindPeers {
		// Both ways, as with the platform.
		return n.peers.Traffic().BytesOut.Load() + n.peers.Traffic().BytesIn.Load()
	}
	return n.counters[kind].bytes.Load()
}

func (n *node) position() member.Position {
	v := n.table.View()
	return member.Position{Offset: v.Offset, Digest: v.Digest}
}

// Ordered returns the entries whose engines take orders.
func (n *node) Ordered() []string {
	var names []string
	for _, e := range n.table.View().Entries() {
		names = append(names, e.Name)
	}
	return names
}

// Folded notes when the record was in force here.
func (n *node) Folded(verdict catalogue.Verdict) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.folded[verdict.Offset] = time.Now()
}

// StateChanged notes when the node was first at the log's head.
func (n *node) StateChanged(_, to replica.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if to == replica.StateFollowing && n.readyAt.IsZero() {
		n.readyAt, n.readyTo = time.Now(), n.table.Offset()
	}
}

// inForce returns when the record came into force here; false if it has not.
func (n *node) inForce(offset uint64) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.readyAt.IsZero() && offset <= n.readyTo {
		return n.readyAt, true
	}
	at, ok := n.folded[offset]
	return at, ok
}

// What else the parts report is not measured here.

// LogRead does nothing.
func (n *node) LogRead(error) {}

// Pushed does nothing.
func (n *node) Pushed(error) {}

// Fetched does nothing.
func (n *node) Fetched(error) {}

// SnapshotAppended does nothing.
func (n *node) SnapshotAppended(error) {}

// ListRead does nothing.
func (n *node) ListRead(error) {}

// HeartbeatSent does nothing.
func (n *node) HeartbeatSent(error) {}

// PositionsDiffer does nothing.
func (n *node) PositionsDiffer(netip.AddrPort) {}

// LeaseAppended does nothing.
func (n *node) LeaseAppended(lease.Kind, error) {}

// LeaseRead does nothing.
func (n *node) LeaseRead(error) {}

// LeaseMoved does nothing.
func (n *node) LeaseMoved(int, netip.AddrPort, uint64) {}

// list reads the platform's list in the member table's terms.
type list struct {
	client *platform.Roster
}

// Instances returns the list's rows.
func (l list) Instances(ctx context.Context) ([]member.Row, error) {
	rows, err := l.client.Instances(ctx)
	listed := make([]member.Row, 0, len(rows))
	for _, r := range rows {
		listed = append(listed, member.Row{
			Address: r.Address, Kind: member.Kind(r.Kind), DataCentre: r.DataCentre, State: member.State(r.State),
		})
	}
	return listed, err
}
