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

const loadTime = 8 * time.Second

var errUnreachable = errors.New("no answer")

// engine is a model engine that checks or ignores fencing numbers.
type engine struct {
	mu     sync.Mutex
	report Report
	checks bool
	dead   bool
	faulty bool          // not serving because of a fault, not of an order
	stall  time.Duration // orders take effect this much later, after their sender gave up
	loads  int
	pulls  []time.Time
}

func (e *engine) take(o Order) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && o.Fence < e.report.Fence {
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
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if load == e.loads {
			e.report.State, e.faulty = EngineReady, false
		}
	})
	return e.report, nil
}

// crash makes the engine come back empty.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads++
	e.faulty = true
	e.report = Report{State: EngineEmpty}
}

func (e *engine) loaded() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loads
}

func (e *engine) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *engine) is(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report.State == EngineReady && e.report.Version == version
}

// site is an entry's engines and the catalogue that names them.
type site struct {
	engines map[netip.AddrPort]*engine
	entry   catalogue.Entry
	checks  bool
}

func newSite(count, minimum int, checks bool) *site {
	s := &site{engines: map[netip.AddrPort]*engine{}, checks: checks}
	s.entry = catalogue.Entry{
		Name: "isoraklet", Owner: "islaget", Kind: catalogue.KindEngine, Class: "assessment",
		Model: "ice", Version: "1", MinimumReady: minimum, ChecksFence: checks,
	}
	for i := range count {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 9000)
		s.entry.Endpoints = append(s.entry.Endpoints, catalogue.Endpoint{Address: a, DataCentre: "lulea-a"})
		s.engines[a] = &engine{checks: checks, report: Report{Order: Order{Entry: "isoraklet", Model: "ice", Version: "1"}, State: EngineReady}}
	}
	return s
}

// at returns the engine of the place.
func (s *site) at(i int) *engine { return s.engines[s.entry.Endpoints[i].Address] }

// serving counts the engines that serve, and those that a fault keeps from it.
func (s *site) serving() (ready, faulty int) {
	for _, e := range s.engines {
		e.mu.Lock()
		switch {
		case e.faulty || e.dead:
			faulty++
		case e.report.State == EngineReady:
			ready++
		}
		e.mu.Unlock()
	}
	return ready, faulty
}

func (s *site) all(version string) bool {
	for _, e := range s.engines {
		if !e.is(version) {
			return false
		}
	}
	return true
}

// holder is one instance with a runner, its own catalogue and its own grant.
type holder struct {
	*Runner
	t      *testing.T
	site   *site
	mu     sync.Mutex
	table  *catalogue.Table
	offset uint64
	grant  lease.Grant
	sent   int
	former uint64
	cancel context.CancelFunc
	done   chan struct{}
}

func newHolder(t *testing.T, s *site, pullsPerSecond float64) *holder {
	h := &holder{t: t, site: s, table: catalogue.NewTable(catalogue.Rules{}), done: make(chan struct{})}
	h.publish(s.entry.Version)
	h.Runner = NewRunner(Options{Catalogue: h.table, Leases: h, Leaving: h, Engines: h, Observer: h, PullsPerSecond: pullsPerSecond})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		defer close(h.done)
		h.Run(ctx)
	}()
	return h
}

func (h *holder) stop() {
	h.cancel()
	<-h.done
}

// publish gives the holder a catalogue with the version.
func (h *holder) publish(version string) {
	h.t.Helper()
	e := h.site.entry
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

// hold gives the holder a lease that begins now.
func (h *holder) hold(fence uint64, span time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.grant = lease.Grant{Fence: fence, From: now, Until: now.Add(span), Catalogue: h.former}
}

// follow says how far a former holder's catalogue was.
func (h *holder) follow(former uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.former = former
}

func (h *holder) orders() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sent
}

func (h *holder) Grant(now time.Time, _ string) (lease.Grant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.grant, now.Before(h.grant.Until)
}

func (h *holder) Ordering(uint64)               {}
func (h *holder) Share(rate float64) float64    { return rate }
func (h *holder) Leaving(netip.AddrPort) bool   { return false }
func (h *holder) OrderSent(string, bool, error) {}
func (h *holder) Planned(string, Plan)          {}

func (h *holder) Report(ctx context.Context, a netip.AddrPort) (Report, error) {
	e := h.site.engines[a]
	e.mu.Lock()
	report, dead := e.report, e.dead
	e.mu.Unlock()
	if dead {
		<-ctx.Done()
		return Report{}, errUnreachable
	}
	return report, nil
}

func (h *holder) Send(ctx context.Context, a netip.AddrPort, o Order) (Report, error) {
	h.mu.Lock()
	h.sent++
	h.mu.Unlock()
	e := h.site.engines[a]
	e.mu.Lock()
	stall, dead := e.stall, e.dead
	e.mu.Unlock()
	switch {
	case dead:
		<-ctx.Done()
		return Report{}, errUnreachable
	case stall > 0:
		time.AfterFunc(stall, func() { _, _ = e.take(o) })
		<-ctx.Done()
		return Report{}, errUnreachable
	}
	return e.take(o)
}
