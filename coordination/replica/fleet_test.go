package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwooddyke/coordination/internal/logtest"
	"dogwooddyke/state/catalogue"
)

// fleet is a set of replicas that call each other directly.
type fleet struct {
	t   *testing.T
	log *logtest.Log

	mu    sync.Mutex
	nodes map[netip.AddrPort]*node
	live  []netip.AddrPort
	bytes atomic.Int64
}

type node struct {
	*Replica
	fleet  *fleet
	self   netip.AddrPort
	link   *logtest.Link
	cut    atomic.Bool // from peers
	cancel context.CancelFunc
	done   chan struct{}
}

var errCut = errors.New("no connection")

func (n *node) Self() netip.AddrPort { return n.self }

func (n *node) Seen(time.Time, netip.AddrPort)    {}
func (n *node) Suspect(time.Time, netip.AddrPort) {}

func (n *node) Live() []netip.AddrPort {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.fleet.live
}

func (n *node) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	n.fleet.mu.Lock()
	other, ok := n.fleet.nodes[to]
	n.fleet.mu.Unlock()
	if !ok || n.cut.Load() || other.cut.Load() {
		return errCut
	}
	request, err := json.Marshal(params)
	if err != nil {
		return err
	}
	serve := map[string]func(context.Context, netip.AddrPort, json.RawMessage) (any, error){
		MethodPush: other.ServePush, MethodFetch: other.ServeFetch,
	}[method]
	answer, err := serve(ctx, n.self, request)
	if err != nil {
		return err
	}
	response, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	n.fleet.bytes.Add(int64(len(request) + len(response)))
	return json.Unmarshal(response, result)
}

type silent struct{}

func (silent) LogRead(error)             {}
func (silent) Folded(catalogue.Verdict)  {}
func (silent) Pushed(error)              {}
func (silent) Fetched(error)             {}
func (silent) SnapshotAppended(error)    {}
func (silent) StateChanged(State, State) {}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, log: logtest.New(), nodes: map[netip.AddrPort]*node{}}
	for i := range n {
		f.start(i, true)
	}
	return f
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// start adds an instance with its own table.
func (f *fleet) start(i int, withLog bool) *node {
	n := &node{fleet: f, self: address(i), link: &logtest.Link{Log: f.log}, done: make(chan struct{})}
	n.link.Cut(!withLog)
	table := catalogue.NewTable(catalogue.Rules{SnapshotKey: []byte("key")})
	n.Replica = New(Options{Table: table, Log: n.link, Members: n, Peers: n, Observer: silent{}})
	f.mu.Lock()
	f.nodes[n.self] = n
	f.live = append(append([]netip.AddrPort(nil), f.live...), n.self)
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		n.Run(ctx)
	}()
	return n
}

// kill ends an instance; the others keep it in their list for the lag.
func (f *fleet) kill(n *node, lag time.Duration) {
	n.cut.Store(true)
	n.cancel()
	<-n.done
	time.AfterFunc(lag, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.nodes, n.self)
		var rest []netip.AddrPort
		for _, a := range f.live {
			if a != n.self {
				rest = append(rest, a)
			}
		}
		f.live = rest
	})
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.cancel()
		<-n.done
	}
}

func (f *fleet) all() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var nodes []*node
	for _, a := range f.live {
		if n := f.nodes[a]; !n.cut.Load() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// publish appends a new entry or the next change of it and returns the offset.
func (f *fleet) publish(name string, base uint64) uint64 {
	f.t.Helper()
	e := &catalogue.Entry{
		Name: name, Owner: "islaget", Kind: catalogue.KindService, Class: "c", KeyRule: catalogue.KeyRuleRequired,
		Endpoints: []catalogue.Endpoint{{Address: address(9), DataCentre: "lulea-a"}},
	}
	seen := f.log.Head(catalogue.Stream)
	c := &catalogue.Change{ID: fmt.Sprint(name, "-", seen), Operator: "islaget", Base: base, Seen: seen, Entry: e}
	return f.append(catalogue.Record{Change: c})
}

func (f *fleet) append(r catalogue.Record) uint64 {
	f.t.Helper()
	data, err := catalogue.Encode(r)
	if err != nil {
		f.t.Fatal(err)
	}
	offset, err := f.log.Append(context.Background(), catalogue.Stream, data)
	if err != nil {
		f.t.Fatal(err)
	}
	return offset
}

// agree checks that all instances serve the same state, at or after the offset.
func (f *fleet) agree(offset uint64) {
	f.t.Helper()
	var digest string
	for _, n := range f.all() {
		v := n.table.View()
		if !n.Ready() || v.Offset < offset {
			f.t.Fatalf("%s: %s at %d, want %d", n.self, n.State(), v.Offset, offset)
		}
		if digest != "" && v.Digest != digest {
			f.t.Fatalf("%s: digest %s, others %s", n.self, v.Digest, digest)
		}
		digest = v.Digest
	}
}
