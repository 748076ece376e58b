package quota

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"dogwooddyke/coordination/internal/message"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/process"
	"dogwooddyke/state/ratelimit"
)

// How limits and permits travel:
//
//	endpoint's answer -> Learn    the instance knows the limit, and its next reports carry it to the others (Notices, Receive)
//	router.PermitAsks -> Round    asks the endpoint's steward, which may be this instance
//	ReceiveAsk        -> Steward  the steward grants permits, or says when to ask again
//	ReceiveGrant      -> router   the router starts requests with the permits

// Router needs permits and takes them.
type Router interface {
	PermitAsks(now time.Time) []routing.PermitAsk
	Grant(g routing.PermitGrant, now time.Time)
	SetRateLimit(address netip.AddrPort, limited bool, expected float64, now time.Time)
}

// Fleet is what this instance knows of the others.
type Fleet interface {
	// Steward returns the instance that grants the permits of an endpoint, and whether one is known.
	Steward(e process.ID) (netip.AddrPort, bool)
	// Size returns the number of live instances, and of those that may run though their reports do not arrive.
	Size() (live, silent int)
}

// Network sends messages to other instances; they may be lost.
type Network interface {
	SendAsk(to netip.AddrPort, ask []byte)
	SendGrant(to netip.AddrPort, grant []byte)
}

// Observer is notified of changes; its methods must be fast and safe for concurrent use.
type Observer interface {
	// RateLimitChanged is called when the limit of an endpoint has changed notably, with the source of the news.
	RateLimitChanged(n ratelimit.News, source string)
	// PermitsAsked is called for each answer to an ask, and for each ask that had no steward.
	PermitsAsked(result Result, permits int)
	// MessageUnreadable is called for a message that could not be decoded.
	MessageUnreadable(err error)
}

// Result is how an ask for permits ended; it is a label of metrics.
type Result string

// The results of asks for permits.
const (
	ResultGranted   Result = "granted"
	ResultDenied    Result = "denied"
	ResultNoSteward Result = "noSteward"
)

// Config is what an exchange works with; all fields are required.
type Config struct {
	Self      netip.AddrPort
	Router    Router
	Fleet     Fleet
	Network   Network
	Observer  Observer
	OnNotices func() // called when the next report should be sent soon, because it carries news
}

// Exchange holds what this instance knows of the limits of endpoints, asks the stewards for permits, and grants them where this instance is
// the steward. It is safe for concurrent use. Lock order: mutex is locked before that of the router; Fleet and Network are not called while
// it is held.
type Exchange struct {
	config Config
	wanted chan struct{} // receives a value when the router may have asks

	mutex     sync.Mutex
	limits    *ratelimit.Table
	steward   *Steward
	endpoints map[process.ID]bool           // of the catalogue and the endpoint list
	current   map[netip.AddrPort]uint64     // start of the endpoint at an address
	cold      map[process.ID]Cold           // endpoints that have just started
	reported  map[process.ID]*notice        // latest notable change of each limit
	early     map[process.ID]ratelimit.News // of endpoints that this instance does not know yet
	limited   map[netip.AddrPort]bool       // endpoints that the router takes for limited
	live      int                           // live instances when the endpoints were last set
	number    uint64                        // of the latest ask
	answered  map[netip.AddrPort]uint64     // number of the latest ask with an answer, by endpoint
}

// notice is a change of a limit that this instance's reports carry.
type notice struct {
	limit       ratelimit.Limit
	reportsLeft int // further reports that carry it
}

// NewExchange returns an exchange that knows no limit; Run must be called.
func NewExchange(c Config) *Exchange {
	return &Exchange{
		config:    c,
		wanted:    make(chan struct{}, 1),
		limits:    ratelimit.NewTable(),
		steward:   NewSteward(),
		endpoints: make(map[process.ID]bool),
		current:   make(map[netip.AddrPort]uint64),
		cold:      make(map[process.ID]Cold),
		reported:  make(map[process.ID]*notice),
		answered:  make(map[netip.AddrPort]uint64),
		limited:   make(map[netip.AddrPort]bool),
		early:     make(map[process.ID]ratelimit.News),
	}
}

// Want says that the router may have asks. It does not block and locks nothing.
func (x *Exchange) Want() {
	select {
	case x.wanted <- struct{}{}:
	default:
	}
}

// Run sends the router's asks until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.wanted:
			x.Round(time.Now())
		}
	}
}

// Round sends the asks that the router has now.
func (x *Exchange) Round(now time.Time) {
	for _, ask := range x.config.Router.PermitAsks(now) {
		x.ask(ask, now)
	}
}

// ask sends an ask to the steward of its endpoint, or decides it if this instance is the steward.
func (x *Exchange) ask(a routing.PermitAsk, now time.Time) {
	x.mutex.Lock()
	x.number++
	e := process.ID{Address: a.Endpoint, Start: x.current[a.Endpoint]}
	news, _ := x.limits.Latest(e)
	ask := &Ask{
		From:     x.config.Self,
		Number:   x.number,
		Notice:   noticeOf(news, now),
		Count:    a.Count,
		Patience: max(a.Patience, 0),
		Urgent:   a.Urgent,
		Spent:    min(a.Spent, maximumCount),
	}
	ask.Notice.Endpoint, ask.Notice.Start = e.Address, e.Start
	x.mutex.Unlock()
	steward, known := x.config.Fleet.Steward(e)
	switch {
	case !known:
		x.config.Observer.PermitsAsked(ResultNoSteward, 0)
		x.config.Router.Grant(routing.PermitGrant{Endpoint: a.Endpoint, Urgent: a.Urgent, RetryAt: now.Add(otherStewardDelay)}, now)
	case steward == x.config.Self:
		x.applyGrant(x.decide(ask, now), now)
	default:
		data, err := message.Encode(ask)
		if err != nil {
			x.config.Observer.MessageUnreadable(err)
			return
		}
		x.config.Network.SendAsk(steward, data)
	}
}

// ReceiveAsk decides an ask of another instance and sends the answer.
func (x *Exchange) ReceiveAsk(data []byte, now time.Time) {
	from, answer, err := x.Answer(data, now)
	if err != nil {
		x.config.Observer.MessageUnreadable(err)
		return
	}
	x.config.Network.SendGrant(from, answer)
}

// Answer decides an ask of another instance, and returns the address of that instance and the answer; it returns an error if the ask can't be
// decoded.
func (x *Exchange) Answer(data []byte, now time.Time) (from netip.AddrPort, answer []byte, err error) {
	ask := &Ask{}
	if err := message.Decode(data, ask); err != nil {
		return netip.AddrPort{}, nil, err
	}
	x.apply(ask.Notice.News(now), "ask of "+ask.From.String(), false, now)
	answer, err = message.Encode(x.decide(ask, now))
	return ask.From, answer, err
}

// decide returns the answer to an ask. An instance that is not the steward of the endpoint by its own view grants nothing: for a moment the
// views of the instances may differ.
func (x *Exchange) decide(ask *Ask, now time.Time) *Grant {
	e := process.ID{Address: ask.Notice.Endpoint, Start: ask.Notice.Start}
	steward, known := x.config.Fleet.Steward(e)
	live, silent := x.config.Fleet.Size()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	grant := &Grant{Number: ask.Number, Notice: ask.Notice, RetryAfter: otherStewardDelay, Urgent: ask.Urgent}
	if news, found := x.limits.Latest(e); found {
		grant.Notice = noticeOf(news, now)
	}
	limit, isCold := x.limitOf(e, now)
	if !isCold { // the asker may know of a limit that this instance has not heard of
		limit = ratelimit.Limit{Named: grant.Notice.Named, PerSecond: grant.Notice.PerSecond}
	}
	if !known || steward != x.config.Self || !limit.Named {
		return grant
	}
	// Silent instances may be cut off and act as stewards themselves; their part of the rate is left to them.
	part := float64(live) / float64(live+silent)
	need := Need{Count: ask.Count, Patience: ask.Patience, Urgent: ask.Urgent, Spent: ask.Spent}
	if !isCold && grant.Notice.Age >= staleNews {
		need.Doubt = time.Duration(float64(staleNews) / part)
	}
	decision := x.steward.Decide(e, need, part*max(limit.PerSecond, minimumRate), now)
	grant.Delays, grant.RetryAfter = decision.Delays, decision.RetryAfter
	return grant
}

// ReceiveGrant takes the answer of another instance to an ask.
func (x *Exchange) ReceiveGrant(data []byte, now time.Time) {
	grant := &Grant{}
	if err := message.Decode(data, grant); err != nil {
		x.config.Observer.MessageUnreadable(err)
		return
	}
	x.apply(grant.Notice.News(now), "grant", false, now)
	x.applyGrant(grant, now)
}

// applyGrant passes the permits of an answer to the router, unless the answer has been received before or is older than another one.
func (x *Exchange) applyGrant(grant *Grant, now time.Time) {
	address := grant.Notice.Endpoint
	x.mutex.Lock()
	fresh := grant.Number > x.answered[address] && grant.Number <= x.number && x.current[address] == grant.Notice.Start
	if fresh {
		x.answered[address] = grant.Number
	}
	x.mutex.Unlock()
	if !fresh {
		return
	}
	result := routing.PermitGrant{Endpoint: address, Urgent: grant.Urgent, RetryAt: now.Add(grant.RetryAfter + rand.N(grant.RetryAfter/2+1))}
	for _, d := range grant.Delays {
		from := now.Add(d)
		result.Permits = append(result.Permits, routing.Permit{From: from, Until: from.Add(permitLifetime)})
	}
	if len(result.Permits) > 0 {
		x.config.Observer.PermitsAsked(ResultGranted, len(result.Permits))
	} else {
		x.config.Observer.PermitsAsked(ResultDenied, 0)
	}
	x.config.Router.Grant(result, now)
}
