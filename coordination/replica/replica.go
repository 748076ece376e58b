package replica

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/record"
)

// ErrNoSnapshot reports a gap in the log that no snapshot in it closes.
var ErrNoSnapshot = errors.New("no snapshot covers the catalogue's lost records")

// ErrRegressed reports a log that no longer holds the last record that was read from it, though it is retained.
var ErrRegressed = errors.New("the log lost records")

// State says where the catalogue's records come from at the moment.
type State string

// The states of a replica.
const (
	StateStarting  State = "starting"  // nothing to serve from yet
	StateFollowing State = "following" // the log answers
	StateOutage    State = "outage"    // the log does not answer; the last state is served
	StateLost      State = "lost"      // records were lost to retention and no snapshot closes the gap
	StateRegressed State = "regressed" // the log lost records that are folded here; the last state is served
)

// Members is what the replica needs of the member table.
type Members interface {
	Self() netip.AddrPort
	Live() []netip.AddrPort
	Seen(now time.Time, address netip.AddrPort)
	Suspect(now time.Time, address netip.AddrPort)
}

// Peers calls other instances.
type Peers interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Observer counts what the replica does.
type Observer interface {
	LogRead(err error)
	Folded(verdict catalogue.Verdict)
	Pushed(err error)
	Fetched(err error)
	SnapshotAppended(err error)
	StateChanged(from, to State)
}

// Replica follows the stream of changes into a table.
type Replica struct {
	table    *catalogue.Table
	log      record.Log
	reader   Reader
	members  Members
	peers    Peers
	observer Observer

	state    atomic.Value // State
	syncedAt atomic.Int64 // Unix nanoseconds of the last read that reached the head
	wake     chan struct{}
	fetches  chan struct{}
	recent   recent
	pusher   pusher
	ahead    atomic.Uint64 // highest offset that a peer told of
	verifyAt time.Time     // of the following loop alone
	interval time.Duration // between two snapshots

	folding        sync.Mutex // held while records are folded and kept; taken before mu
	mu             sync.Mutex // guards the fields below; taken before nothing else
	fetchAt        time.Time  // earliest next fetch during an outage
	snapshotSeenAt time.Time
	snapshotTryAt  time.Time
}

// Options is what a replica works with.
type Options struct {
	Table            *catalogue.Table
	Log              record.Log
	Members          Members
	Peers            Peers
	Observer         Observer
	SnapshotInterval time.Duration // zero: the constant; a small part of the log's retention
}

// New returns a replica that has not read anything.
func New(o Options) *Replica {
	r := &Replica{
		table:    o.Table,
		log:      o.Log,
		reader:   Reader{Table: o.Table, Log: o.Log},
		members:  o.Members,
		peers:    o.Peers,
		observer: o.Observer,
		wake:     make(chan struct{}, 1),
		fetches:  make(chan struct{}, fetchesAtOnce),
		interval: o.SnapshotInterval,
	}
	if r.interval <= 0 {
		r.interval = SnapshotInterval
	}
	r.pusher.wake = make(chan struct{}, 1)
	r.state.Store(StateStarting)
	return r
}

// Run follows the log until the context ends.
func (r *Replica) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { r.follow(ctx) })
	group.Go(func() { r.push(ctx) })
	group.Go(func() { r.keepSnapshots(ctx) })
	group.Wait()
}

// State returns where the records come from.
func (r *Replica) State() State { return r.state.Load().(State) }

// Ready tells whether the table may be served from.
func (r *Replica) Ready() bool {
	s := r.State()
	return s == StateFollowing || s == StateOutage || s == StateRegressed
}

// SyncedAt returns when the head of the log was last reached; zero: never.
func (r *Replica) SyncedAt() time.Time {
	at := r.syncedAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Hint tells that a peer is at the offset, so that a replica behind it asks the log at once.
func (r *Replica) Hint(offset uint64) {
	if offset > r.table.Offset() {
		r.ahead.Store(offset)
		signal(r.wake)
	}
}

func (r *Replica) move(to State) {
	if from := r.state.Swap(to).(State); from != to {
		r.observer.StateChanged(from, to)
	}
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
