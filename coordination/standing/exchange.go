package standing

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"dogwooddyke/state/process"
	"dogwooddyke/state/statement"
)

// How statements travel:
//
//	endpoint's answer -> Learn     the router rests the endpoint, or avoids it while it may be leaving; it is asked whether it leaves
//	question's answer -> Learn     the endpoint leaves, or it does not
//	Notices -> report -> Receive   the other instances learn of it

// Endpoint is an endpoint that this instance knows.
type Endpoint struct {
	Process process.ID
	ID      string
	Service string
	Born    int64 // start of the process by the endpoint's clock, in Unix milliseconds
	Listed  bool  // the endpoint list says that it leaves, so that it is not asked
}

// Router heeds the standing of endpoints in each of its decisions.
type Router interface {
	SetResting(address netip.AddrPort, until, now time.Time)
	SetDoubted(address netip.AddrPort, doubted bool, now time.Time)
}

// Asker asks an endpoint something whose answer passes through Learn before it returns.
type Asker interface {
	Ask(ctx context.Context, e Endpoint) error
}

// Observer is notified of changes; its methods must be fast and safe for concurrent use.
type Observer interface {
	// Rests is called when an endpoint begins to rest.
	Rests(e Endpoint, until time.Time, source string)
	// Doubted is called when an endpoint may be leaving.
	Doubted(e Endpoint)
	// LeavingChanged is called when an endpoint is known to leave, or not to leave after all.
	LeavingChanged(e Endpoint, leaving bool)
	// Asked is called after each question, with the error if there was no answer.
	Asked(e Endpoint, err error)
}

// Config is what an exchange works with; all fields are required.
type Config struct {
	Router     Router
	Asker      Asker
	Observer   Observer
	DoubtLimit time.Duration                     // time from an endpoint's first sign after which it is taken for leaving unless it has said otherwise
	OnLeaving  func(e Endpoint, since time.Time) // called with the time since which an endpoint leaves, zero if it stays; may be called again with the same
	OnNotices  func()                            // called when the next report should be sent soon, because it carries news
}

// Exchange holds what endpoints have said of themselves. It is safe for concurrent use. Lock order: passing is locked before mutex, and mutex before
// that of the router. OnLeaving is called with passing held only.
type Exchange struct {
	config  Config
	wake    chan struct{} // receives a value when a question may be due
	passing sync.Mutex    // held while changes are passed on, so that the latest one comes last

	mutex     sync.Mutex
	endpoints map[process.ID]Endpoint // of the endpoint list
	states    map[process.ID]*state   // of endpoints that have said something
	passed    map[netip.AddrPort]bool // addresses of which the router was told something that may have to be taken back
}

// state is what is known of one endpoint.
type state struct {
	restUntil   time.Time
	restOfAll   bool // the rest was asked for here, of all instances
	departure   departure
	leaving     bool // as last found by settle
	told        bool // the others have been told that it leaves
	doubted     bool // as last passed to the router
	reportsLeft int  // further reports that carry it
}

// NewExchange returns an exchange that knows nothing; Run must be called.
func NewExchange(c Config) *Exchange {
	return &Exchange{
		config:    c,
		wake:      make(chan struct{}, 1),
		endpoints: make(map[process.ID]Endpoint),
		states:    make(map[process.ID]*state),
		passed:    make(map[netip.AddrPort]bool),
	}
}

// Learn applies what the answer to a request that was sent at the given time says of its endpoint.
func (x *Exchange) Learn(p process.ID, s statement.Statement, sent, now time.Time) {
	x.mutex.Lock()
	e, known := x.endpoints[p]
	st := x.states[p]
	says := s.Rest.For > 0 || s.Closes || s.Replaced
	if !known || st == nil && !says {
		x.mutex.Unlock()
		return
	}
	if st == nil {
		st = &state{}
		x.states[p] = st
	}
	news := x.rest(e, st, s.Rest.For, s.Rest.All, "answer", now)
	st.departure.observe(s, sent, now)
	changed := x.settle(e, st, nil, now)
	x.mutex.Unlock()
	signal(x.wake)
	x.pass(changed)
	if news || len(changed) > 0 {
		x.config.OnNotices()
	}
}

// rest extends an endpoint's rest, and reports whether the others are to be told; the caller holds the mutex.
func (x *Exchange) rest(e Endpoint, st *state, lasts time.Duration, ofAll bool, source string, now time.Time) bool {
	until := now.Add(lasts)
	if lasts <= 0 || !until.After(st.restUntil) {
		return false
	}
	if !now.Before(st.restUntil) {
		x.config.Observer.Rests(e, until, source)
	}
	st.restUntil = until
	if ofAll {
		st.restOfAll, st.reportsLeft = true, newsRepeats
	}
	x.passed[e.Process.Address] = true
	x.config.Router.SetResting(e.Process.Address, until, now)
	return ofAll
}

// settle passes an endpoint's departure to the router, and adds the endpoint to the changed ones if it begins or ceases to leave; the caller holds
// the mutex. What an endpoint says that leaves by the endpoint list matters only if the list takes that back.
func (x *Exchange) settle(e Endpoint, st *state, changed []Endpoint, now time.Time) []Endpoint {
	if e.Listed {
		return changed
	}
	if doubted := st.departure.doubted(); doubted != st.doubted {
		st.doubted = doubted
		if doubted {
			x.config.Observer.Doubted(e)
		}
		x.passed[e.Process.Address] = true
		x.config.Router.SetDoubted(e.Process.Address, doubted, now)
	}
	leaving := st.departure.leaves(now)
	if leaving == st.leaving {
		return changed
	}
	st.leaving = leaving
	if st.departure.confirmed || st.told {
		st.told, st.reportsLeft = true, newsRepeats
	}
	x.config.Observer.LeavingChanged(e, leaving)
	return append(changed, e)
}

// pass passes on whether the endpoints leave now; no lock may be held.
func (x *Exchange) pass(changed []Endpoint) {
	x.passing.Lock()
	defer x.passing.Unlock()
	for _, e := range changed {
		x.config.OnLeaving(e, x.leavesSince(e.Process))
	}
}

// leavesSince returns the time since which an endpoint leaves; zero if it does not.
func (x *Exchange) leavesSince(p process.ID) time.Time {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	st := x.states[p]
	if st == nil || !st.leaving {
		return time.Time{}
	}
	return st.departure.since()
}

// SetEndpoints replaces the endpoints that this instance knows, forgets what endpoints outside the list have said, and passes what is known to the router, which may
// have forgotten it.
func (x *Exchange) SetEndpoints(endpoints []Endpoint, now time.Time) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	clear(x.endpoints)
	for _, e := range endpoints {
		x.endpoints[e.Process] = e
	}
	for p := range x.states {
		if _, known := x.endpoints[p]; !known {
			delete(x.states, p)
		}
	}
	for _, e := range endpoints {
		address := e.Process.Address
		st := x.states[e.Process]
		if st == nil && !x.passed[address] {
			continue
		}
		if st == nil {
			st = &state{} // of a process that was started after the one that said something
			delete(x.passed, address)
		}
		x.config.Router.SetResting(address, st.restUntil, now)
		x.config.Router.SetDoubted(address, st.doubted, now)
	}
}

// Expire ends doubts that have lasted too long, and what other instances have told of endpoints; it must be called several times a second.
func (x *Exchange) Expire(now time.Time) {
	x.mutex.Lock()
	var changed []Endpoint
	for p, st := range x.states {
		e := x.endpoints[p]
		st.departure.expire(x.config.DoubtLimit, now)
		before := len(changed)
		changed = x.settle(e, st, changed, now)
		if st.leaving && len(changed) == before {
			changed = append(changed, e) // the list may have it under a new entry
		}
		if st.isOver(now) {
			delete(x.states, p)
		}
	}
	x.mutex.Unlock()
	x.pass(changed)
}

// isOver reports whether nothing follows any more from what the endpoint has said, and nothing has to be taken back.
func (s *state) isOver(now time.Time) bool {
	d := &s.departure
	return !s.leaving && !s.doubted && !now.Before(s.restUntil) && d.doubtedAt.IsZero() && !d.asking && !now.Before(d.toldUntil) && s.reportsLeft == 0
}

// Resting returns the number of endpoints that rest.
func (x *Exchange) Resting() int {
	now := time.Now()
	return x.count(func(s *state) bool { return now.Before(s.restUntil) })
}

// Leaving returns the number of endpoints that leave by their own word.
func (x *Exchange) Leaving() int { return x.count(func(s *state) bool { return s.leaving }) }

func (x *Exchange) count(holds func(s *state) bool) int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	count := 0
	for _, st := range x.states {
		if holds(st) {
			count++
		}
	}
	return count
}
