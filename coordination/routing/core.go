package routing

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/length"
	"dogwooddyke/state/workspace"
)

// Observer counts what the router does; its methods must be quick and must not call back.
type Observer interface {
	Admitted(entry, workspace string, submitted time.Time, now time.Time)
	Refused(entry, workspace string, reason Reason)
	Ejected(endpoint netip.AddrPort, until time.Time)
	Preempted(endpoint netip.AddrPort, count int)
}

// Config says how a router decides; zero fields take defaults.
type Config struct {
	Self           netip.AddrPort // orders the endpoints that the instance works with
	DataCentre     string
	Instances      int // that share the endpoints; see SetInstances
	Random         *rand.Rand
	Sample         int     // endpoints that fit, of which the best is taken
	Subset         int     // endpoints of an entry that the instance works with
	QueueBound     int     // requests queued
	WorkspaceBound int     // requests queued of one workspace
	PromptWeight   float64 // of the wait behind other prompts, as against the time of the whole answer
	Observer       Observer
}

func (c *Config) applyDefaults() {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c.Instances = max(c.Instances, 1)
	c.Sample = orDefault(c.Sample, defaultSampleSize)
	c.Subset = orDefault(c.Subset, defaultSubsetSize)
	c.QueueBound = orDefault(c.QueueBound, defaultQueueBound)
	if c.PromptWeight <= 0 {
		c.PromptWeight = defaultPromptWeight
	}
	c.WorkspaceBound = orDefault(c.WorkspaceBound, defaultWorkspaceBound)
}

func orDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

// Core is the router's logic without locks, I/O or clocks: one caller at a time, who passes the time in.
type Core struct {
	config          Config
	pools           map[string]*pool
	endpoints       map[netip.AddrPort]*endpointState
	sortedEndpoints []*endpointState // by address, so that equal runs decide alike
	sortedPools     []*pool          // by name
	queue           *queue
	lengthTable     *length.Table
	servedTokens    *workspace.Service
	workspaceLimits map[string]catalogue.Limits // of workspaces
	limiters        map[LimitKey]*workspace.Limiter
	round           uint64
	draining        bool
	decidedRequests []*Request
}

// NewCore returns a core without entries.
func NewCore(config Config) *Core {
	config.applyDefaults()
	return &Core{
		config:          config,
		pools:           make(map[string]*pool),
		endpoints:       make(map[netip.AddrPort]*endpointState),
		queue:           newQueue(),
		lengthTable:     length.NewTable(),
		servedTokens:    workspace.NewService(),
		workspaceLimits: make(map[string]catalogue.Limits),
		limiters:        make(map[LimitKey]*workspace.Limiter),
	}
}

// SetInstances says how many instances share the endpoints and limits, for the time in which shares are missing.
func (c *Core) SetInstances(count int) { c.config.Instances = max(count, 1) }

// SetDraining says whether new requests are refused.
func (c *Core) SetDraining(draining bool) { c.draining = draining }

// SetEntry takes in a new or changed entry.
func (c *Core) SetEntry(entry *catalogue.Entry, _ time.Time) {
	p := c.pools[entry.Name]
	if p == nil {
		p = &pool{}
		c.pools[entry.Name] = p
	}
	defer c.rebuildOrder()
	previous := p.endpoints
	p.entry, p.endpoints = entry, nil
	for _, listed := range subset(c.config.Self, c.config.DataCentre, entry.Endpoints, c.config.Subset) {
		e := c.endpoints[listed.Address]
		if e == nil {
			e = newEndpointState(listed.Address)
			c.endpoints[listed.Address] = e
		}
		e.entryCount++
		e.plainService = entry.Kind == catalogue.KindService
		e.dataCentre = listed.DataCentre
		e.leavingInCatalogue = listed.Leaving
		p.endpoints = append(p.endpoints, e)
	}
	c.releaseEndpoints(previous)
}

// RemoveEntry forgets an entry; its queued requests are refused at the next Admit.
func (c *Core) RemoveEntry(name string) {
	if p := c.pools[name]; p != nil {
		delete(c.pools, name)
		c.releaseEndpoints(p.endpoints)
		p.endpoints = nil
		c.rebuildOrder()
	}
}

func (c *Core) rebuildOrder() {
	c.sortedEndpoints, c.sortedPools = c.sortedEndpoints[:0], c.sortedPools[:0]
	for _, e := range c.endpoints {
		c.sortedEndpoints = append(c.sortedEndpoints, e)
	}
	for _, p := range c.pools {
		c.sortedPools = append(c.sortedPools, p)
	}
	slices.SortFunc(c.sortedEndpoints, func(a, b *endpointState) int { return a.address.Compare(b.address) })
	slices.SortFunc(c.sortedPools, func(a, b *pool) int { return cmp.Compare(a.entry.Name, b.entry.Name) })
}

func (c *Core) releaseEndpoints(endpoints []*endpointState) {
	for _, e := range endpoints {
		if e.entryCount--; e.entryCount == 0 {
			delete(c.endpoints, e.address)
		}
	}
}

// UpdateLoad takes in an engine's report.
func (c *Core) UpdateLoad(address netip.AddrPort, load endpoint.Load, now time.Time) {
	e := c.endpoints[address]
	if e == nil || load.At.Before(e.load.At) {
		return
	}
	if c.config.Observer != nil && !e.loadReceived.IsZero() && load.Preemptions > e.load.Preemptions {
		c.config.Observer.Preempted(address, load.Preemptions-e.load.Preemptions)
	}
	if load.Preemptions < e.load.Preemptions {
		e.cache.Clear()
	}
	e.load, e.loadReceived, e.ownRunsAtLoad = load, now, e.running()
}

// UpdateCache takes in an engine's cache events.
func (c *Core) UpdateCache(address netip.AddrPort, events []endpoint.CacheEvent) {
	if e := c.endpoints[address]; e != nil {
		e.cache.Apply(events)
	}
}

// SetLeaving says whether any source but the catalogue and the endpoint's load calls it leaving; it then takes no new work.
func (c *Core) SetLeaving(address netip.AddrPort, leaving bool) {
	if e := c.endpoints[address]; e != nil {
		e.leavingByEvidence = leaving
	}
}

// Tick does what hangs on time alone; call it a few times a second.
func (c *Core) Tick(now time.Time) {
	for _, p := range c.sortedPools {
		p.updateStartRate(now)
		c.ejectSlow(p, now)
	}
}
