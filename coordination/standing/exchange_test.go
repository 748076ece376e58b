package standing

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/process"
	"dogwooddyke/state/statement"
)

// fakeRouter records what it was told.
type fakeRouter struct {
	resting map[netip.AddrPort]time.Time
	doubted map[netip.AddrPort]bool
}

func (r *fakeRouter) SetResting(a netip.AddrPort, until, _ time.Time) { r.resting[a] = until }

func (r *fakeRouter) SetDoubted(a netip.AddrPort, doubted bool, _ time.Time) { r.doubted[a] = doubted }

type silentObserver struct{}

func (silentObserver) Rests(Endpoint, time.Time, string) {}
func (silentObserver) Doubted(Endpoint)                  {}
func (silentObserver) LeavingChanged(Endpoint, bool)     {}
func (silentObserver) Asked(Endpoint, error)             {}

// fakeEndpoint answers questions for its health.
type fakeEndpoint struct {
	exchange *Exchange
	mutex    sync.Mutex
	leaving  bool
	silent   bool
	asked    int
}

func (f *fakeEndpoint) Ask(_ context.Context, e Endpoint) error {
	f.mutex.Lock()
	f.asked++
	leaving, silent := f.leaving, f.silent
	f.mutex.Unlock()
	if silent {
		return errors.New("no answer")
	}
	sent := time.Now()
	time.Sleep(time.Millisecond)
	f.exchange.Learn(e.Process, statement.Statement{Closes: leaving, Health: true}, sent, time.Now())
	return nil
}

// node is one instance's exchange.
type node struct {
	*Exchange
	router   *fakeRouter
	endpoint *fakeEndpoint
	leaving  map[string]bool
	mutex    sync.Mutex
	news     int
}

var one = Endpoint{Process: process.Of(netip.MustParseAddrPort("10.0.0.1:80"), "e-1", 1), ID: "e-1", Service: "desk", Born: 1}

func newNode() *node {
	n := &node{router: &fakeRouter{resting: make(map[netip.AddrPort]time.Time), doubted: make(map[netip.AddrPort]bool)}, endpoint: &fakeEndpoint{}, leaving: make(map[string]bool)}
	n.Exchange = NewExchange(Config{
		Router: n.router, Asker: n.endpoint, Observer: silentObserver{}, DoubtLimit: time.Second,
		OnLeaving: func(e Endpoint, since time.Time) {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			n.leaving[e.ID] = !since.IsZero()
		},
		OnNotices: func() { n.news++ },
	})
	n.endpoint.exchange = n.Exchange
	n.SetEndpoints([]Endpoint{one}, time.Now())
	return n
}

func (n *node) says(s statement.Statement) { n.Learn(one.Process, s, time.Now(), time.Now()) }

func (n *node) leaves() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.leaving["e-1"]
}

// run runs the exchange for a while.
func (n *node) run(t *testing.T, lasts time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.Run(ctx)
	}()
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		n.Expire(time.Now())
	}
	cancel()
	<-ended
}

func TestRest(t *testing.T) {
	address := one.Process.Address
	rest := func(seconds int, all bool) statement.Statement {
		return statement.Statement{Rest: statement.Rest{For: time.Duration(seconds) * time.Second, All: all}}
	}
	t.Run("the longest rest holds", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNode()
			began := time.Now()
			n.says(rest(3, true))
			time.Sleep(time.Second)
			n.says(rest(1, true))
			n.says(statement.Statement{Signed: true})
			is.Equal(n.router.resting[address], began.Add(3*time.Second))
		})
	})
	t.Run("others are told of a rest that is asked of all", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n, other := newNode(), newNode()
			n.says(rest(3, true))
			is.Equal(n.news, 1)
			time.Sleep(time.Second)
			other.Receive(n.Notices(false, time.Now()), "n", time.Now())
			is.Equal(other.router.resting[address], time.Now().Add(2*time.Second))
			is.Equal(len(other.Notices(true, time.Now())), 0) // only the instance that got the answer reports it
		})
	})
	t.Run("others are not told of a rest that is asked of one", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNode()
			n.says(rest(3, false))
			is.Equal(len(n.Notices(true, time.Now())), 0)
		})
	})
	t.Run("another process at the address does not rest", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNode()
			n.says(rest(3, true))
			next := one
			next.Process = process.Of(address, "e-1", 2)
			n.SetEndpoints([]Endpoint{next}, time.Now())
			is.True(n.router.resting[address].IsZero())
		})
	})
}

func TestLeaving(t *testing.T) {
	t.Run("a sign is confirmed by a question", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNode()
			n.endpoint.leaving = true
			n.says(statement.Statement{Closes: true})
			is.True(n.router.doubted[one.Process.Address])
			n.run(t, 200*time.Millisecond)
			is.True(n.leaves())
		})
	})
	t.Run("a sign that is taken back costs one question", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNode()
			n.says(statement.Statement{Closes: true})
			n.run(t, time.Minute)
			is.True(!n.leaves())
			is.True(!n.router.doubted[one.Process.Address])
			is.Equal(n.endpoint.asked, 1)
			is.Equal(len(n.states), 0)
		})
	})
	t.Run("an endpoint that does not answer counts as leaving until it does", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNode()
			n.endpoint.silent = true
			n.says(statement.Statement{Closes: true})
			n.run(t, 1200*time.Millisecond)
			is.True(n.leaves())
			n.endpoint.silent = false
			n.run(t, 2*longestQuestionPause)
			is.True(!n.leaves())
		})
	})
	t.Run("an endpoint that the list has as leaving is not asked", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNode()
			listed := one
			listed.Listed = true
			n.SetEndpoints([]Endpoint{listed}, time.Now())
			n.endpoint.leaving = true
			n.says(statement.Statement{Closes: true})
			n.run(t, 2*time.Second)
			is.Equal(n.endpoint.asked, 0)
			is.Equal(len(n.Notices(true, time.Now())), 0)
			n.SetEndpoints([]Endpoint{one}, time.Now()) // a record of before its notice
			n.Expire(time.Now())
			is.True(n.leaves())
		})
	})
	t.Run("what others told does not outlast the list's notice", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n, other := newNode(), newNode()
			n.says(statement.Statement{Replaced: true})
			other.Receive(n.Notices(false, time.Now()), "n", time.Now())
			listed := one
			listed.Listed = true
			other.SetEndpoints([]Endpoint{listed}, time.Now())
			time.Sleep(2 * toldLifetime)
			other.Expire(time.Now())
			other.SetEndpoints([]Endpoint{one}, time.Now())
			other.Expire(time.Now())
			is.True(!other.leaves())
			is.Equal(len(other.states), 0)
		})
	})
	t.Run("an endpoint leaves since its first sign", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n := newNode()
			n.endpoint.silent = true
			began := time.Now()
			n.says(statement.Statement{Closes: true})
			n.run(t, 1500*time.Millisecond)
			is.Equal(n.leavesSince(one.Process), began)
		})
	})
	t.Run("others are told, and told again when it stays", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n, other := newNode(), newNode()
			n.says(statement.Statement{Replaced: true})
			other.Receive(n.Notices(false, time.Now()), "n", time.Now())
			is.True(other.leaves())
			time.Sleep(time.Second)
			n.says(statement.Statement{Signed: true})
			is.True(!n.leaves())
			other.Receive(n.Notices(false, time.Now()), "n", time.Now())
			is.True(!other.leaves())
		})
	})
	t.Run("two that have told each other don't keep an endpoint from work that stays after all", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n, other, third := newNode(), newNode(), newNode()
			for _, told := range []*node{n, other} {
				told.says(statement.Statement{Replaced: true})
			}
			exchange := func() {
				from := [][]Notice{n.Notices(true, time.Now()), other.Notices(true, time.Now())}
				other.Receive(from[0], "n", time.Now())
				n.Receive(from[1], "other", time.Now())
				third.Receive(append(from[0], from[1]...), "both", time.Now())
			}
			for range newsRepeats + 1 {
				exchange()
			}
			is.True(third.leaves())
			time.Sleep(time.Second)
			n.says(statement.Statement{Signed: true})
			other.says(statement.Statement{Signed: true})
			exchange()
			is.True(!n.leaves())
			is.True(!other.leaves())
			is.True(!third.leaves())
		})
	})
	t.Run("what others tell lapses unless they repeat it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			n, other := newNode(), newNode()
			n.says(statement.Statement{Replaced: true})
			other.Receive(n.Notices(false, time.Now()), "n", time.Now())
			time.Sleep(toldLifetime - time.Second)
			other.Receive(n.Notices(true, time.Now()), "n", time.Now())
			time.Sleep(2 * time.Second)
			other.Expire(time.Now())
			is.True(other.leaves())
			time.Sleep(toldLifetime)
			other.Expire(time.Now())
			is.True(!other.leaves())
		})
	})
}
