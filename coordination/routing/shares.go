package routing

import (
	"net/netip"
	"time"

	"dogwooddyke/state/endpoint"
)

// SetShare replaces this instance's share of an endpoint.
func (c *Core) SetShare(address netip.AddrPort, share endpoint.Share) {
	if a := c.accounts[address]; a != nil {
		a.share = share
	}
}

// SetPeerLoad takes in what the other instances say that they have in progress at an engine, and the tokens of prompts among it that
// have given no token yet.
func (c *Core) SetPeerLoad(address netip.AddrPort, others, prompts int, now time.Time) {
	if a := c.accounts[address]; a != nil {
		a.load = endpoint.Load{At: now, Running: a.running() + others}
		a.loaded, a.ownAtLoad = now, a.running()
		a.othersPrompt = prompts
	}
}

// ObservePeerInterval learns from a mean time between tokens that another instance has observed at an engine.
func (c *Core) ObservePeerInterval(address netip.AddrPort, interval time.Duration, now time.Time) {
	if a := c.accounts[address]; a != nil && a.speed.Observe(a.batch(now), interval) {
		a.told++
	}
}

// Endpoints returns the endpoints that the instance works with, engines and plain services.
func (c *Core) Endpoints() []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(c.order))
	for _, a := range c.order {
		addresses = append(addresses, a.address)
	}
	return addresses
}

// Demands calls the function for each engine that the instance works with.
func (c *Core) Demands(now time.Time, take func(address netip.AddrPort, demand endpoint.Demand)) {
	waiting := make(map[*account]waitingDemand, len(c.accounts))
	need := make(map[*account]int, len(c.accounts))
	queued := c.startable(now)
	for _, p := range c.entries {
		p.spread(waiting, queued[p])
		for _, a := range p.accounts {
			need[a] = max(need[a], p.need)
		}
	}
	for _, l := range c.queue.lines {
		f := l.head()
		for _, a := range f.pool.accounts {
			need[a] = max(need[a], f.prompt()+int(f.decision.ExpectedTokens))
		}
	}
	for _, a := range c.order {
		if a.service {
			continue
		}
		a.foresee(now)
		w := waiting[a]
		interval, _ := a.speed.Recent()
		take(a.address, endpoint.Demand{
			Interval: interval,
			Prompts:  a.prompts() - a.othersPrompt,
			Samples:  a.speed.Samples() - a.told,
			Running:  a.running(),
			Waiting:  w.requests,
			Memory:   int(a.profile.peak(0)),
			Wanted:   w.memory,
			Need:     need[a],
			Variance: a.profile.widest(),
			Knee:     a.speed.Knee(),
		})
	}
}

// startable counts the queued requests of each entry that no limit holds back.
func (c *Core) startable(now time.Time) map[*pool]int {
	queued := make(map[*pool]int, len(c.entries))
	for _, l := range c.queue.lines {
		if c.allowed(l.head(), now) {
			queued[l.head().pool] += len(l.flights)
		}
	}
	return queued
}

// waitingDemand is what queued requests would need of one endpoint.
type waitingDemand struct {
	requests int
	memory   int
}

// spread divides the pool's queued requests among its endpoints.
func (p *pool) spread(waiting map[*account]waitingDemand, queued int) {
	live := 0
	for _, a := range p.accounts {
		if !a.leaving() && !a.health.Ejected() {
			live++
		}
	}
	if live == 0 || queued == 0 {
		return
	}
	part := (queued + live - 1) / live
	for _, a := range p.accounts {
		if a.leaving() || a.health.Ejected() {
			continue
		}
		w := waiting[a]
		w.requests += part
		w.memory += part * p.need
		waiting[a] = w
	}
}
