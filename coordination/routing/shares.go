package routing

import (
	"net/netip"
	"time"

	"dogwooddyke/state/endpoint"
)

// SetShare replaces this instance's share of an endpoint.
func (c *Core) SetShare(address netip.AddrPort, share endpoint.Share) {
	if e := c.endpoints[address]; e != nil {
		e.share = share
	}
}

// PeerLoad is what the other instances have in progress at an engine, and the share of it that this leaves to this instance.
type PeerLoad struct {
	Endpoint     netip.AddrPort
	Runs         int
	Prompts      int // runs that have produced no token yet
	PromptTokens int // of these runs
	Share        endpoint.Share
}

// SetPeerLoad replaces what other instances report to have in progress at an engine. It replaces the engine's load report.
func (c *Core) SetPeerLoad(l PeerLoad, now time.Time) {
	if e := c.endpoints[l.Endpoint]; e != nil {
		e.load = endpoint.Load{At: now, Running: e.running() + l.Runs}
		e.loadReceived, e.ownRunsAtLoad = now, e.running()
		e.peerPrompts, e.peerPromptTokens = l.Prompts, l.PromptTokens
	}
}

// ObservePeerInterval adds a mean time between tokens that another instance has measured at an engine.
func (c *Core) ObservePeerInterval(address netip.AddrPort, interval time.Duration, now time.Time) {
	if e := c.endpoints[address]; e != nil && e.speed.Observe(e.batch(now), interval) {
		e.peerSamples++
	}
}

// Endpoints returns the addresses of the engines and plain services that this instance uses, in order.
func (c *Core) Endpoints() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(c.sortedEndpoints))
	for _, e := range c.sortedEndpoints {
		addresses = append(addresses, e.address)
	}
	return addresses
}

// Demands calls visit with this instance's demand for each engine that it uses, in order of address.
func (c *Core) Demands(now time.Time, visit func(address netip.AddrPort, demand endpoint.Demand)) {
	waiting := make(map[*endpointState]waitingDemand, len(c.endpoints))
	need := make(map[*endpointState]int, len(c.endpoints))
	queued := c.startableCounts(now)
	for _, p := range c.sortedPools {
		p.addWaitingDemand(waiting, queued[p])
		for _, e := range p.endpoints {
			need[e] = max(need[e], p.typicalMemory)
		}
	}
	for _, f := range c.queue.flows {
		r := f.first()
		for _, e := range r.pool.endpoints {
			need[e] = max(need[e], r.promptTokens()+int(r.decision.ExpectedTokens))
		}
	}
	for _, e := range c.sortedEndpoints {
		if e.plainService {
			continue
		}
		e.refreshProfile(now)
		w := waiting[e]
		interval, _ := e.speed.Recent()
		tokenTime, _ := e.prefill.TokenTime()
		visit(e.address, endpoint.Demand{
			Interval: interval,
			Prompts:  e.pendingPromptTokens() - e.peerPromptTokens,
			Samples:  e.speed.Samples() - e.peerSamples,
			Running:  e.running(),
			Waiting:  w.requests,
			Memory:   int(e.profile.peak(0)),
			Wanted:   w.memory,
			Need:     need[e],
			Variance: e.profile.maximumVariance(),
			Knee:     e.speed.Knee(),

			PromptCount:    e.pendingPrompts(),
			TokenTime:      tokenTime,
			PrefillSamples: e.prefill.Samples() - e.peerPrefillSamples,
		})
	}
}

// startableCounts returns the number of queued requests per pool in flows that no limit delays.
func (c *Core) startableCounts(now time.Time) map[*pool]int {
	queued := make(map[*pool]int, len(c.sortedPools))
	for _, f := range c.queue.flows {
		if c.withinLimits(f.first(), now) {
			queued[f.first().pool] += len(f.requests)
		}
	}
	return queued
}

// waitingDemand is the part of the queued requests that is expected to go to one endpoint.
type waitingDemand struct {
	requests int
	memory   int // tokens
}

// addWaitingDemand adds an equal part of the pool's queued requests to the demand for each endpoint that can take work.
func (p *pool) addWaitingDemand(waiting map[*endpointState]waitingDemand, queued int) {
	live := 0
	for _, e := range p.endpoints {
		if !e.leaving() && !e.health.Ejected() {
			live++
		}
	}
	if live == 0 || queued == 0 {
		return
	}
	part := (queued + live - 1) / live
	for _, e := range p.endpoints {
		if e.leaving() || e.health.Ejected() {
			continue
		}
		w := waiting[e]
		w.requests += part
		w.memory += part * p.typicalMemory
		waiting[e] = w
	}
}
