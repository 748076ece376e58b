package order

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"dogwooddyke/coordination/lease"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/record"
)

const loadDuration = 8 * time.Second

var errUnreachable = errors.New("no answer")

// engine is a model engine that checks or ignores fencing numbers.
type engine struct {
	mutex       sync.Mutex
	report      Report
	checksFence bool          // refuses orders with an older fencing number
	unreachable bool          // answers no call
	faulty      bool          // does not serve because of a fault rather than an order
	delay       time.Duration // time by which orders take effect late; longer than the sender's timeout
	loads       int           // loads and crashes so far, to detect that a load was superseded
	pulls       []time.Time   // start of each load
}

// receive carries out an order as a real engine does: it starts a load if the order needs other weights.
func (e *engine) receive(o Order) (Report, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.checksFence && o.Fence < e.report.Fence {
		return e.report, ErrFenced
	}
	same := o.sameWeights(e.report.Order) && e.report.State != EngineEmpty
	e.report.Order = o
	if same {
		return e.report, nil
	}
	e.report.State = EngineLoading
	e.loads++
	e.pulls = append(e.pulls, time.Now())
	load := e.loads
	time.AfterFunc(loadDuration, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if load == e.loads {
			e.report.State, e.faulty = EngineReady, false
		}
	})
	return e.report, nil
}

// crash makes the engine restart without weights.
func (e *engine) crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.loads++
	e.faulty = true
	e.report = Report{State: EngineEmpty}
}

func (e *engine) loadCount() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.loads
}

func (e *engine) update(change func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change()
}

func (e *engine) serves(version string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.report.State == EngineReady && e.report.Version == version
}

// fleet contains the engines of one entry and the entry itself.
type fleet struct {
	engines     map[netip.AddrPort]*engine
	entry       catalogue.Entry
	checksFence bool // the engines check fencing numbers
}

func newFleet(count, minimumReady int, checksFence bool) *fleet {
	f := &fleet{engines: map[netip.AddrPort]*engine{}, checksFence: checksFence}
	f.entry = catalogue.Entry{
		Name: "isoraklet", Owner: "islaget", Kind: catalogue.KindEngine, Class: "assessment",
		Model: "ice", Version: "1", MinimumReady: minimumReady, ChecksFence: checksFence,
	}
	for i := range count {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 9000)
		f.entry.Endpoints = append(f.entry.Endpoints, catalogue.Endpoint{Address: address, DataCentre: "lulea-a"})
		f.engines[address] = &engine{checksFence: checksFence, report: Report{Order: Order{Entry: "isoraklet", Model: "ice", Version: "1"}, State: EngineReady}}
	}
	return f
}

// engine returns the engine of the entry's endpoint with the index.
func (f *fleet) engine(i int) *engine { return f.engines[f.entry.Endpoints[i].Address] }

// serving returns the number of engines that serve and of those that a fault prevents from serving, all at one moment: one engine may end its load and
// another begin one in the same instant of virtual time.
func (f *fleet) serving() (ready, faulty int) {
	for i := range f.entry.Endpoints {
		e := f.engine(i)
		e.mutex.Lock()
		defer e.mutex.Unlock()
	}
	for _, e := range f.engines {
		switch {
		case e.faulty || e.unreachable:
			faulty++
		case e.report.State == EngineReady:
			ready++
		}
	}
	return ready, faulty
}

func (f *fleet) allServe(version string) bool {
	for _, e := range f.engines {
		if !e.serves(version) {
			return false
		}
	}
	return true
}

// leaseholder is one instance with a runner, its own catalogue and its own lease.
type leaseholder struct {
	*Runner
	t               *testing.T
	fleet           *fleet
	mutex           sync.Mutex
	table           *catalogue.Table
	offset          uint64 // last offset applied to table
	grant           lease.Grant
	sent            int    // orders sent
	formerCatalogue uint64 // catalogue offset of the former leaseholder
	cancel          context.CancelFunc
	done            chan struct{} // closed when Run has returned
}

func newLeaseholder(t *testing.T, f *fleet, pullsPerSecond float64) *leaseholder {
	h := &leaseholder{t: t, fleet: f, table: catalogue.NewTable(catalogue.Rules{}), done: make(chan struct{})}
	h.publish(f.entry.Version)
	h.Runner = NewRunner(Options{Catalogue: h.table, Leases: h, Leaving: h, Engines: h, Observer: h, PullsPerSecond: pullsPerSecond})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		defer close(h.done)
		h.Run(ctx)
	}()
	return h
}

func (h *leaseholder) stop() {
	h.cancel()
	<-h.done
}

// publish applies a catalogue change with the version to the leaseholder's catalogue.
func (h *leaseholder) publish(version string) {
	h.t.Helper()
	e := h.fleet.entry
	e.Version = version
	base := h.table.View().Revision
	h.offset++
	c := &catalogue.Change{ID: fmt.Sprint("c", h.offset), Operator: e.Owner, Base: base, Seen: h.offset - 1, Entry: &e}
	data, err := catalogue.Encode(catalogue.Record{Change: c})
	if err != nil {
		h.t.Fatal(err)
	}
	if err := h.table.Apply(record.Record{Offset: h.offset, Data: data}); err != nil {
		h.t.Fatal(err)
	}
	if h.table.View().Refused > 0 {
		h.t.Fatal(h.table.View().History())
	}
}

// grantLease grants the leaseholder a lease that begins now.
func (h *leaseholder) grantLease(fence uint64, span time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := time.Now()
	h.grant = lease.Grant{Fence: fence, From: now, Until: now.Add(span), Catalogue: h.formerCatalogue}
}

// setFormerCatalogue sets the catalogue offset of the former leaseholder, which later leases contain.
func (h *leaseholder) setFormerCatalogue(former uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.formerCatalogue = former
}

func (h *leaseholder) sentOrders() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.sent
}

func (h *leaseholder) Grant(now time.Time, _ string) (lease.Grant, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.grant, now.Before(h.grant.Until)
}

func (h *leaseholder) Ordering(uint64)               {}
func (h *leaseholder) Share(rate float64) float64    { return rate }
func (h *leaseholder) Leaving(netip.AddrPort) bool   { return false }
func (h *leaseholder) OrderSent(string, bool, error) {}
func (h *leaseholder) Planned(string, Plan)          {}

func (h *leaseholder) Report(ctx context.Context, address netip.AddrPort) (Report, error) {
	e := h.fleet.engines[address]
	e.mutex.Lock()
	report, dead := e.report, e.unreachable
	e.mutex.Unlock()
	if dead {
		<-ctx.Done()
		return Report{}, errUnreachable
	}
	return report, nil
}

func (h *leaseholder) Send(ctx context.Context, address netip.AddrPort, o Order) (Report, error) {
	h.mutex.Lock()
	h.sent++
	h.mutex.Unlock()
	e := h.fleet.engines[address]
	e.mutex.Lock()
	delay, dead := e.delay, e.unreachable
	e.mutex.Unlock()
	switch {
	case dead:
		<-ctx.Done()
		return Report{}, errUnreachable
	case delay > 0:
		time.AfterFunc(delay, func() { _, _ = e.receive(o) })
		<-ctx.Done()
		return Report{}, errUnreachable
	}
	return e.receive(o)
}
