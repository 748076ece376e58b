package instance

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/state/prompt"
)

// The RPC methods by which instances tell each other of crashes and ask for trials.
const (
	methodTrialAsk   = "quarantine.ask"
	methodTrialGrant = "quarantine.grant"
	methodComparison = "quarantine.compare"
	methodNews       = "quarantine.news"
)

// trialsKey is the key under which the steward of trials is chosen.
const trialsKey = "quarantine/trials"

// quarantineFleet is what the quarantine needs to know of the other instances.
type quarantineFleet struct {
	instance *Instance
}

// Steward returns the instance that decides about suspected parts.
func (q quarantineFleet) Steward() (netip.AddrPort, bool) {
	steward := q.instance.members.Steward(trialsKey)
	return steward, steward.IsValid()
}

// Any returns another live instance, chosen at random, and whether there is one.
func (q quarantineFleet) Any() (netip.AddrPort, bool) {
	others := q.others(1)
	if len(others) == 0 {
		return netip.AddrPort{}, false
	}
	return others[0], true
}

// others returns so many other live instances, chosen at random.
func (q quarantineFleet) others(count int) []netip.AddrPort {
	var others []netip.AddrPort
	live := q.instance.members.Live()
	for _, n := range rand.Perm(len(live)) {
		if len(others) < count && live[n] != q.instance.members.Self() {
			others = append(others, live[n])
		}
	}
	return others
}

// quarantineNetwork carries the messages of the quarantine as RPC calls.
type quarantineNetwork struct {
	instance *Instance
}

// SendTrialAsk sends an ask about a request to the steward.
func (q quarantineNetwork) SendTrialAsk(to netip.AddrPort, ask []byte) {
	q.send(to, methodTrialAsk, ask)
}

// SendTrialGrant sends the answer to an ask about a request.
func (q quarantineNetwork) SendTrialGrant(to netip.AddrPort, grant []byte) {
	q.send(to, methodTrialGrant, grant)
}

// SendComparison sends a digest of what this instance knows of crashes.
func (q quarantineNetwork) SendComparison(to netip.AddrPort, comparison []byte) {
	q.send(to, methodComparison, comparison)
}

// SendNews sends what this instance knows of crashes.
func (q quarantineNetwork) SendNews(to netip.AddrPort, news []byte) { q.send(to, methodNews, news) }

// send calls a method without a result. A failed call needs no handling: asks are repeated, and comparisons find lost news.
func (q quarantineNetwork) send(to netip.AddrPort, method string, message []byte) {
	i := q.instance
	i.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), trialMessageTimeout)
		defer cancel()
		var nothing struct{}
		_ = i.peers.Call(ctx, to, method, message, &nothing)
	})
}

// spread sends news to a few other instances, which send what is new to them to a few others in turn.
func (q quarantineNetwork) spread(news []byte) {
	for _, to := range (quarantineFleet{q.instance}).others(newsFanout) {
		q.send(to, methodNews, news)
	}
}

// spreadNotices sends the latest news of this instance.
func (q quarantineNetwork) spreadNotices() {
	i := q.instance
	i.group.Go(func() {
		if news := i.quarantine.EncodeNotices(time.Now()); news != nil {
			q.spread(news)
		}
	})
}

// quarantineObserver counts and logs what the quarantine does.
type quarantineObserver struct {
	instance *Instance
}

// PartSuspected logs and counts a part that is suspected of crashing engines, or not any more.
func (q quarantineObserver) PartSuspected(p prompt.Part, crashes int) {
	if crashes == 0 {
		q.instance.logger.Info("part of requests cleared", "part", p.String())
		return
	}
	q.instance.metrics.events.WithLabelValues("partSuspected").Inc()
	q.instance.logger.Warn("part of requests suspected of crashing endpoints", "part", p.String(), "crashes", crashes)
}

// TrialDecided counts the decisions about requests with a part that is blamed for crashes.
func (q quarantineObserver) TrialDecided(v quarantine.Verdict) {
	q.instance.metrics.events.WithLabelValues("trials." + v.String()).Inc()
}

// TrialMessageUnreadable logs a message that could not be encoded or decoded.
func (q quarantineObserver) TrialMessageUnreadable(err error) {
	q.instance.logger.Warn("could not decode message about crashes", "error", err.Error())
}

// wireQuarantine creates the quarantine of parts that crash engines.
func (i *Instance) wireQuarantine() {
	network := quarantineNetwork{i}
	i.quarantine = quarantine.NewExchange(quarantine.Config{
		Self:     i.members.Self(),
		Fleet:    quarantineFleet{i},
		Network:  network,
		Observer: quarantineObserver{i},
		OnNews:   network.spreadNotices,
	})
	i.handleTrials(methodTrialAsk, func(m []byte) { i.quarantine.ReceiveAsk(m, time.Now()) })
	i.handleTrials(methodTrialGrant, i.quarantine.ReceiveGrant)
	i.handleTrials(methodComparison, func(m []byte) { i.quarantine.ReceiveComparison(m, time.Now()) })
	i.handleTrials(methodNews, func(m []byte) {
		if i.quarantine.ReceiveNews(m, time.Now()) {
			network.spread(m)
		}
	})
}

// handleTrials handles a method whose parameter is an encoded message.
func (i *Instance) handleTrials(method string, receive func(message []byte)) {
	i.node.Handle(method, func(_ context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
		var message []byte
		if err := json.Unmarshal(params, &message); err != nil {
			return nil, err
		}
		receive(message)
		return struct{}{}, nil
	})
}
