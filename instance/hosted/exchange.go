package hosted

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"dogwooddyke/coordination/evacuation"
	"dogwooddyke/coordination/gossip"
	"dogwooddyke/internal/wait"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/roster"
	"dogwooddyke/transport/datagram"
)

// exchange tells the other instances what this one has in progress, and the router what they have.
//
// Lock order: mutex before the router's; it is not held while anything is sent.
type exchange struct {
	instance *Instance
	socket   *datagram.Socket
	self     netip.AddrPort
	start    int64
	news     chan struct{} // a report should be sent soon

	mutex    sync.Mutex
	peers    *gossip.Peers
	changes  *gossip.DeltaTracker
	sequence uint64
	told     []told
}

// told is a change of an endpoint that the next reports hold.
type told struct {
	change roster.Change
	left   int // reports
}

// tell has the others hear of a change.
func (x *exchange) tell(c roster.Change) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.told = append(x.told, told{c, newsTellings})
	x.told = x.told[max(len(x.told)-maximumNews, 0):]
}

// tellable gives the changes that the next report holds; the mutex is held.
func (x *exchange) tellable() []roster.Change {
	changes := make([]roster.Change, 0, len(x.told))
	for n := range x.told {
		changes = append(changes, x.told[n].change)
		x.told[n].left--
	}
	x.told = slices.DeleteFunc(x.told, func(t told) bool { return t.left <= 0 })
	return changes
}

func newExchange(i *Instance) *exchange {
	self := netip.AddrPortFrom(i.settings.Address, uint16(i.settings.FirstPeerPort))
	return &exchange{instance: i, self: self, start: time.Now().UnixNano(), news: make(chan struct{}, 1), peers: gossip.NewPeers(self), changes: gossip.NewDeltaTracker()}
}

// open binds the socket.
func (x *exchange) open() error {
	socket, err := datagram.Open(x.self)
	x.socket = socket
	return err
}

// poke has a report sent soon.
func (x *exchange) poke() {
	select {
	case x.news <- struct{}{}:
	default:
	}
}

// send tells the others of this instance until the context ends.
func (x *exchange) send(ctx context.Context) {
	for ctx.Err() == nil {
		x.report()
		timer := time.NewTimer(x.interval())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-x.news:
			_ = wait.For(ctx, pokePause) // an ended context ends the loop
		}
		timer.Stop()
	}
	x.report()
}

func (x *exchange) interval() time.Duration {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.peers.ReportInterval()
}

// report sends one report to all others.
func (x *exchange) report() {
	now := time.Now()
	r := &gossip.Report{From: x.self, Start: x.start, DataCentre: x.instance.settings.DataCentre, ReadAge: x.instance.readAge(now), LatestOffset: x.instance.roster.LatestOffset()}
	if table := x.instance.table.Load(); table != nil {
		r.Catalogue = table.Version
	}
	uses := x.own(now)
	x.mutex.Lock()
	x.sequence++
	r.Sequence = x.sequence
	r.Uses, r.Partial = x.changes.Pick(uses, now)
	if !r.Partial {
		r.Leaving = x.instance.leaving()
	}
	r.Updates = x.tellable()
	targets := x.peers.Targets(r.DataCentre, r.Sequence, now)
	x.mutex.Unlock()
	data, err := gossip.Encode(r)
	if err != nil {
		x.instance.logger.Error("report not sent", "error", err.Error())
		return
	}
	for _, t := range targets {
		x.pass(t.Address, data, t.Forward)
	}
}

// pass sends an encoded report to one instance, which is to pass it on or not.
func (x *exchange) pass(to netip.AddrPort, report []byte, forward bool) {
	mark := byte(0)
	if forward {
		mark = 1
	}
	if err := x.socket.Send(to, append([]byte{mark}, report...)); err != nil {
		x.instance.observer.unsent(to, err)
	}
}

// forward passes a report from elsewhere on to the other instances of this data centre.
func (x *exchange) forward(from netip.AddrPort, report []byte) {
	x.mutex.Lock()
	addresses := x.peers.LivePeersIn(x.instance.settings.DataCentre, time.Now())
	x.mutex.Unlock()
	for _, a := range addresses {
		if a != from {
			x.pass(a, report, false)
		}
	}
}

// own gives what this instance has at each endpoint.
func (x *exchange) own(now time.Time) []gossip.Use {
	var uses []gossip.Use
	held := x.instance.turns.held()
	x.instance.router.Demands(now, func(address netip.AddrPort, d endpoint.Demand) {
		if d.Running > 0 || d.Memory > 0 || d.Samples > 0 {
			uses = append(uses, gossip.Use{Endpoint: address, Running: d.Running, Memory: d.Memory, Held: held[address], Prompts: d.Prompts, Interval: d.Interval, Samples: d.Samples})
			delete(held, address)
		}
	})
	for address, tokens := range held {
		// The router has forgotten the endpoint, since it is leaving.
		uses = append(uses, gossip.Use{Endpoint: address, Held: tokens})
	}
	return uses
}

// receive takes the others' reports until the socket is closed.
func (x *exchange) receive() {
	x.socket.Receive(func(message []byte) {
		if len(message) == 0 {
			return
		}
		forward, message := message[0] != 0, message[1:]
		r, err := gossip.Decode(message)
		if err != nil {
			x.instance.observer.unreadable("report", err)
			return
		}
		x.mutex.Lock()
		now := time.Now()
		observed := x.peers.NewlySampled(r)
		fresh := x.peers.Apply(r, now)
		x.mutex.Unlock()
		if !fresh {
			return
		}
		if forward {
			x.forward(r.From, message)
		}
		for _, u := range observed {
			x.instance.router.ObservePeerInterval(u.Endpoint, u.Interval, now)
		}
		x.instance.takeNews(r)
		x.instance.takeRead(r, now)
	})
}

// live counts the instances that run, this one included.
func (x *exchange) live() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.peers.LiveCount(time.Now()) + 1
}

// uses tells what the others have at each endpoint.
func (x *exchange) uses(now time.Time) map[netip.AddrPort]gossip.Use {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.peers.TotalUses(now)
}

// reads tells whether this instance reads the list of endpoints, and between how many the reading is shared.
func (x *exchange) reads(now time.Time) (bool, int) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.peers.IsReader(now), x.peers.ReaderCount(now)
}

// probes tells whether this instance is one of those that ask often whether a lost log is back.
func (x *exchange) probes(now time.Time) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.peers.ShouldProbe(now)
}

// latest gives the offset of the newest change of an endpoint that others know.
func (x *exchange) latest(now time.Time) int64 {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.peers.LatestOffset(now)
}

// newest gives the instance to learn from, and the version of its catalogue.
func (x *exchange) newest(now time.Time) (netip.AddrPort, int64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.peers.NewestCatalogue(now)
}

// parties gives the other instances that have runs at an endpoint.
func (x *exchange) parties(endpoint netip.AddrPort) []evacuation.Participant {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var parties []evacuation.Participant
	for a, u := range x.peers.UsesAt(endpoint, time.Now()) {
		parties = append(parties, evacuation.Participant{Instance: a, Memory: u.Held})
	}
	return parties
}

// name adds instances that the log names.
func (x *exchange) name(addresses []netip.AddrPort) {
	now := time.Now()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, a := range addresses {
		x.peers.Add(a, now)
	}
}

// leaving gives the endpoints that others should know to be leaving.
func (i *Instance) leaving() []string {
	ids := i.roster.GoneOrLeaving()
	return ids[:min(len(ids), reportedLeaving)]
}

// takeNews applies what another instance knows and this one does not.
func (i *Instance) takeNews(r *gossip.Report) {
	changed := false
	now := time.Now()
	for _, c := range r.Updates {
		if i.news(c) && i.roster.Apply(c, now) {
			changed = true
			i.observer.endpointChanged(c, r.From.String())
		}
	}
	for _, id := range r.Leaving {
		if i.roster.MarkLeaving(id) {
			changed = true
			i.logger.Info("endpoint leaving", "endpoint", id, "source", r.From)
		}
	}
	if changed {
		i.refresh()
	}
	i.balance(time.Now())
}

// takeRead notes that the log told another instance of the endpoints.
func (i *Instance) takeRead(r *gossip.Report, now time.Time) {
	if r.ReadAge < 0 || r.LatestOffset > i.covered() {
		return
	}
	at := now.Add(-r.ReadAge)
	if heard := i.heard.Load(); heard != nil && heard.Before(at) {
		i.heard.Store(&at)
	}
}

// balance gives the router what the other instances leave of each engine.
func (i *Instance) balance(now time.Time) {
	table := i.table.Load()
	if table == nil {
		return
	}
	uses := i.exchange.uses(now)
	for _, e := range i.roster.List() {
		s := table.Services[e.Service]
		if s == nil || s.Engine == nil {
			continue
		}
		used := uses[e.Address]
		share := endpoint.Share{
			Slots:  max(s.Engine.Slots-used.Running, 0),
			Memory: max(int(memoryReserve*float64(s.Engine.Memory))-used.Memory, 0),
			Spread: 1,
			Until:  now.Add(shareLife),
		}
		i.router.SetPeerLoad(e.Address, used.Running, used.Prompts, share, now)
	}
}
