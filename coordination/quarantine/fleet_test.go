package quarantine_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/state/process"
	"dogwooddyke/state/prompt"
)

const (
	noticing         = 2 * time.Second // until the others notice that an instance is frozen, cut off or has started
	restartTime      = 3 * time.Second // of an endpoint that has crashed
	allowedCrashes   = 5               // after which the part must be known
	learning         = 3 * time.Second // after the last of these, in which more requests with the part may arrive
	allowedArrivals  = 3               // after that
	excuse           = 3 * time.Second // after a fault of an instance, in which its requests do not count
	callers          = 10
	fatalPart        = prompt.Part(1)
	firstCallersPart = prompt.Part(100) // of the part that all requests of the first caller share
	firstSessionPart = prompt.Part(1000)
)

// world is a fleet of instances before endpoints, in virtual time. An endpoint that begins to answer a prompt with the fatal part crashes, and
// another process takes its place after a while.
type world struct {
	t         *testing.T
	random    *rand.Rand
	newsDelay time.Duration
	nodes     []*node
	endpoints []*endpoint
	part      prompt.Part // that crashes endpoints; zero: none

	mutex    sync.Mutex
	crashes  []time.Time
	arrivals []time.Time // of requests with the fatal part, of instances without a fault
	sound    tally       // requests without the fatal part
	fatal    tally       // requests with it
	session  prompt.Part
}

// tally counts requests.
type tally struct{ sent, begun, refused int }

// endpoint is one endpoint with the runs that it has not begun to answer.
type endpoint struct {
	address netip.AddrPort
	start   uint64
	upAt    time.Time
	waiting map[*run]bool
}

// run is a request at an endpoint.
type run struct {
	node  *node
	parts []prompt.Part
	lost  chan struct{}
}

// node is one instance.
type node struct {
	world     *world
	address   netip.AddrPort
	index     int
	exchange  *quarantine.Exchange
	stop      context.CancelFunc
	startedAt time.Time
	frozenAt  time.Time // zero: not frozen
	thawed    chan struct{}
	side      int // instances on different sides do not reach each other
	excused   time.Time
	reporting bool
}

func newWorld(t *testing.T, nodes, endpoints int, newsDelay time.Duration) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(1, 2)), newsDelay: newsDelay, part: fatalPart, session: firstSessionPart}
	for n := range endpoints {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 80)
		w.endpoints = append(w.endpoints, &endpoint{address: address, waiting: make(map[*run]bool)})
	}
	for n := range nodes {
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], 10<<24+uint32(n)+1)
		w.nodes = append(w.nodes, &node{world: w, index: n, address: netip.AddrPortFrom(netip.AddrFrom4(ip), 7200)})
	}
	for _, n := range w.nodes {
		n.start()
		n.startedAt = time.Now().Add(-time.Minute)
	}
	return w
}

// start starts the instance, which knows nothing.
func (n *node) start() {
	ctx, cancel := context.WithCancel(n.world.t.Context())
	n.stop, n.startedAt = cancel, time.Now()
	n.exchange = quarantine.NewExchange(quarantine.Config{Self: n.address, Fleet: n, Network: n, Observer: observer{n.world.t}, OnNews: n.reportSoon})
	go n.exchange.Run(ctx)
}

// isFrozen reports whether the instance stands still; the caller holds the world's mutex.
func (n *node) isFrozen() bool { return !n.frozenAt.IsZero() }

// seesLive reports whether an instance takes another one for live; the caller holds the world's mutex.
func (n *node) seesLive(other *node) bool {
	return n.side == other.side && (!other.isFrozen() || time.Since(other.frozenAt) < noticing)
}

// Steward implements quarantine.Fleet.
func (n *node) Steward() (netip.AddrPort, bool) {
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	for _, other := range n.world.nodes {
		if n.seesLive(other) && time.Since(other.startedAt) >= noticing {
			return other.address, true
		}
	}
	return netip.AddrPort{}, false
}

// Any implements quarantine.Fleet.
func (n *node) Any() (netip.AddrPort, bool) {
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	other := n.world.nodes[n.world.random.IntN(len(n.world.nodes))]
	return other.address, other != n && n.seesLive(other)
}

// send carries a message to another instance, unless one of the two stands still or they are on different sides.
func (n *node) send(to *node, delay time.Duration, receive func(x *quarantine.Exchange)) {
	time.AfterFunc(delay, func() {
		n.world.mutex.Lock()
		reached := !n.isFrozen() && !to.isFrozen() && n.side == to.side
		exchange := to.exchange
		n.world.mutex.Unlock()
		if reached {
			receive(exchange)
		}
	})
}

const messageDelay = 2 * time.Millisecond

// SendTrialAsk implements quarantine.Network.
func (n *node) SendTrialAsk(to netip.AddrPort, ask []byte) {
	n.send(n.world.at(to), messageDelay, func(x *quarantine.Exchange) { x.ReceiveAsk(ask, time.Now()) })
}

// SendTrialGrant implements quarantine.Network.
func (n *node) SendTrialGrant(to netip.AddrPort, grant []byte) {
	n.send(n.world.at(to), messageDelay, func(x *quarantine.Exchange) { x.ReceiveGrant(grant) })
}

// SendComparison implements quarantine.Network.
func (n *node) SendComparison(to netip.AddrPort, comparison []byte) {
	n.send(n.world.at(to), messageDelay, func(x *quarantine.Exchange) { x.ReceiveComparison(comparison, time.Now()) })
}

// SendNews implements quarantine.Network.
func (n *node) SendNews(to netip.AddrPort, news []byte) {
	n.send(n.world.at(to), messageDelay, func(x *quarantine.Exchange) { x.ReceiveNews(news, time.Now()) })
}

// reportSoon sends the news to all others.
func (n *node) reportSoon() {
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	if n.reporting {
		return
	}
	n.reporting = true
	time.AfterFunc(5*time.Millisecond, func() {
		n.world.mutex.Lock()
		n.reporting = false
		exchange := n.exchange
		n.world.mutex.Unlock()
		news := exchange.Notices(time.Now())
		for _, other := range n.world.nodes {
			if other != n {
				n.send(other, n.world.newsDelay, func(x *quarantine.Exchange) { x.Receive(news, time.Now()) })
			}
		}
	})
}

func (w *world) at(address netip.AddrPort) *node {
	return w.nodes[binary.BigEndian.Uint32(address.Addr().AsSlice())-10<<24-1]
}

// observer fails the test for messages that can't be decoded.
type observer struct{ t *testing.T }

func (observer) PartSuspected(prompt.Part, int)     {}
func (observer) TrialDecided(quarantine.Verdict)    {}
func (o observer) TrialMessageUnreadable(err error) { o.t.Error(err) }

// harm excuses the instance for a while after a fault that lasts until then, and applies it.
func (n *node) harm(lasts time.Duration, apply func()) {
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	n.excused = time.Now().Add(lasts + excuse)
	apply()
}

// generate sends one request through the instance. Its prompt has a part that all requests of its caller share, a fatal one or one of a session.
func (n *node) generate(fatal bool) {
	w := n.world
	w.mutex.Lock()
	caller := firstCallersPart + prompt.Part(w.random.IntN(callers))
	session := w.session
	w.session++
	exchange, frozen, count := n.exchange, n.isFrozen(), &w.sound
	parts := []prompt.Part{caller, session}
	if fatal {
		parts, count = []prompt.Part{firstCallersPart, fatalPart, session}, &w.fatal
	}
	if !frozen {
		count.sent++
	}
	w.mutex.Unlock()
	if frozen {
		return
	}
	admission, err := exchange.Admit(w.t.Context(), parts, false, time.Now().Add(4*time.Second))
	if err != nil {
		w.add(&count.refused)
		return
	}
	if !exchange.Allows(parts, admission, time.Now()) {
		exchange.End(admission, false)
		w.add(&count.refused)
		return
	}
	begun, crashed := w.runAt(w.pick(), &run{node: n, parts: parts, lost: make(chan struct{})}, exchange)
	exchange.End(admission, crashed)
	if begun {
		w.add(&count.begun)
	}
}

func (w *world) add(count *int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	*count++
}

// pick returns an endpoint that is up; nil if none is.
func (w *world) pick() *endpoint {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	offset := w.random.IntN(len(w.endpoints))
	for n := range w.endpoints {
		if e := w.endpoints[(offset+n)%len(w.endpoints)]; !time.Now().Before(e.upAt) {
			return e
		}
	}
	return nil
}

// runAt runs a request at an endpoint, and reports whether the endpoint has begun to answer it, or has crashed.
func (w *world) runAt(e *endpoint, r *run, exchange *quarantine.Exchange) (begun, crashed bool) {
	if e == nil {
		return false, false
	}
	w.mutex.Lock()
	e.waiting[r] = true
	fatal := r.has(fatalPart)
	if fatal && time.Now().After(r.node.excused) {
		w.arrivals = append(w.arrivals, time.Now())
	}
	id := process.ID{Address: e.address, Start: e.start}
	reading := time.Duration(150+w.random.IntN(350)) * time.Millisecond
	w.mutex.Unlock()
	select {
	case <-r.lost:
		exchange.Crashed(id, r.parts, time.Now())
		return false, true
	case <-time.After(reading):
	}
	w.mutex.Lock()
	delete(e.waiting, r)
	if r.has(w.part) {
		w.crash(e)
		w.mutex.Unlock()
		exchange.Crashed(id, r.parts, time.Now())
		return false, true
	}
	w.mutex.Unlock()
	exchange.Answered(r.parts, time.Now())
	return true, false
}

func (r *run) has(p prompt.Part) bool {
	for _, own := range r.parts {
		if own == p {
			return true
		}
	}
	return false
}

// crash ends the endpoint's process under its runs; the caller holds the mutex.
func (w *world) crash(e *endpoint) {
	w.crashes = append(w.crashes, time.Now())
	e.start++
	e.upAt = time.Now().Add(restartTime)
	for r := range e.waiting {
		close(r.lost)
		delete(e.waiting, r)
	}
}

// drive sends requests at the rate through instances chosen at random, a share of them with the fatal part, for the duration.
func (w *world) drive(perSecond, share float64, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		w.mutex.Lock()
		pause := w.random.ExpFloat64() / perSecond
		n := w.nodes[w.random.IntN(len(w.nodes))]
		fatal := w.random.Float64() < share
		w.mutex.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Second)))
		go n.generate(fatal)
	}
}

// assertKept checks that few requests with the fatal part arrived at endpoints after the allowed crashes, and that sound ones were served.
func (w *world) assertKept() {
	w.t.Helper()
	is := is.New(w.t)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	late := 0
	if len(w.crashes) >= allowedCrashes {
		for _, at := range w.arrivals {
			if at.Sub(w.crashes[allowedCrashes-1]) > learning {
				late++
			}
		}
	}
	w.t.Logf("%d crashes, %d requests with the part after that, fatal %+v, sound %+v", len(w.crashes), late, w.fatal, w.sound)
	is.True(late <= allowedArrivals)
	is.True(w.sound.refused*20 <= w.sound.sent)
}

// counts returns the tallies and forgets them.
func (w *world) counts() (sound, fatal tally) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	sound, fatal = w.sound, w.fatal
	w.sound, w.fatal = tally{}, tally{}
	return sound, fatal
}

// crashShare has a share of the endpoints crash together, for no reason of the requests.
func (w *world) crashShare(share float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, e := range w.endpoints {
		if w.random.Float64() < share {
			w.crash(e)
		}
	}
}

func TestFleet(t *testing.T) {
	for _, size := range []struct {
		nodes, endpoints int
		perSecond        float64
		newsDelay        time.Duration
	}{{8, 9, 8, 2 * time.Millisecond}, {295, 330, 150, 400 * time.Millisecond}} {
		run := func(name string, check func(t *testing.T, w *world)) {
			t.Run(fmt.Sprintf("%d/%s", size.nodes, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, size.nodes, size.endpoints, size.newsDelay) // traffic begins as the instances start
					check(t, w)
					time.Sleep(5 * time.Second) // requests under way end
					for _, n := range w.nodes {
						n.stop()
					}
					time.Sleep(5 * time.Second)
				})
			})
		}
		for _, share := range []float64{0.05, 0.3, 0.9} {
			run(fmt.Sprint("share ", share), func(_ *testing.T, w *world) {
				w.drive(size.perSecond, share, 40*time.Second)
				w.assertKept()
			})
		}
		run("freezes", func(_ *testing.T, w *world) {
			w.drive(size.perSecond, 0.3, 2*time.Second)
			for k := range 4 {
				for _, n := range w.nodes[k*len(w.nodes)/4 : (k+1)*len(w.nodes)/4] {
					n.harm(5*time.Second, func() { n.frozenAt = time.Now() })
				}
				w.drive(size.perSecond, 0.3, 5*time.Second)
				for _, n := range w.nodes {
					n.harm(-excuse, func() {
						if n.isFrozen() {
							n.excused = time.Now().Add(excuse)
						}
						n.frozenAt = time.Time{}
					})
				}
				w.drive(size.perSecond, 0.3, 4*time.Second)
			}
			w.assertKept()
		})
		run("starts", func(_ *testing.T, w *world) {
			w.drive(size.perSecond, 0.3, 2*time.Second)
			for k := range 4 {
				for _, n := range w.nodes[k*len(w.nodes)/4 : (k+1)*len(w.nodes)/4] {
					n.harm(0, func() {
						n.stop()
						n.start()
					})
				}
				w.drive(size.perSecond, 0.3, 7*time.Second)
			}
			w.assertKept()
		})
		run("cuts", func(_ *testing.T, w *world) {
			w.drive(size.perSecond, 0.3, time.Second)
			for k := range 4 {
				for _, n := range w.nodes[k*len(w.nodes)/4 : (k+1)*len(w.nodes)/4] {
					n.harm(4*time.Second, func() { n.side = n.index + 1 })
				}
				w.drive(size.perSecond, 0.3, 4*time.Second)
				for _, n := range w.nodes {
					n.world.mutex.Lock()
					n.side = 0
					n.world.mutex.Unlock()
				}
				w.drive(size.perSecond, 0.3, 4*time.Second)
			}
			w.assertKept()
		})
		run("beside ordinary crashes", func(_ *testing.T, w *world) {
			for range 12 {
				w.drive(size.perSecond, 0.3, 3*time.Second)
				w.crashShare(0.2)
			}
			w.assertKept()
		})
		run("ordinary crashes alone", func(t *testing.T, w *world) {
			is := is.New(t)
			for range 20 {
				w.drive(size.perSecond, 0, 2*time.Second)
				w.crashShare(0.4)
			}
			sound, _ := w.counts()
			t.Logf("%+v", sound)
			is.True(sound.refused*100 <= sound.sent)
		})
		run("the end of the crashes", func(t *testing.T, w *world) {
			is := is.New(t)
			w.drive(size.perSecond, 0.3, 20*time.Second)
			w.mutex.Lock()
			w.part = 0
			w.mutex.Unlock()
			w.drive(size.perSecond, 0.3, 60*time.Second)
			w.counts()
			w.drive(size.perSecond, 0.3, 10*time.Second)
			sound, fatal := w.counts()
			t.Logf("sound %+v, formerly fatal %+v", sound, fatal)
			is.Equal(sound.refused+fatal.refused, 0)
		})
	}
}
