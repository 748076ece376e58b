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

// Observer is notified of the router's decisions. Its methods run under the router's lock: they must be fast and must not call the
// router.
type Observer interface {
	Admitted(entry, workspace string, submitted time.Time, now time.Time)
	Refused(entry, workspace string, reason Reason)
	Ejected(endpoint netip.AddrPort, until time.Time)
	Preempted(endpoint netip.AddrPort, count int)
}

// Config configures a router; a field that is zero takes its default.
type Config struct {
	Self           netip.AddrPort // this instance's address, from which its subset of the endpoints is derived
	DataCentre     string
	Instances      int // number of instances that share the endpoints; see SetInstances
	Random         *rand.Rand
	SampleSize     int     // endpoints with room that are compared per decision
	SubsetSize     int     // endpoints of an entry that the instance uses
	QueueBound     int     // limit on queued requests
	WorkspaceBound int     // limit on queued requests of one workspace
	PromptWeight   float64 // weight in the score of a second that the prompts ahead take, relative to a second of the answer itself
	Observer       Observer

	// OnPermitsWanted is called when PermitAsks may have something to return, under the router's lock: it must not block or call the router.
	OnPermitsWanted func()
}

func (c *Config) applyDefaults() {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c.Instances = max(c.Instances, 1)
	c.SampleSize = orDefault(c.SampleSize, defaultSampleSize)
	c.SubsetSize = orDefault(c.SubsetSize, defaultSubsetSize)
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

// Core is the router's logic without locks, I/O or a clock. It is not safe for concurrent use, and callers pass in the current time.
type Core struct {
	config          Config
	pools           map[string]*pool
	endpoints       map[netip.AddrPort]*endpointState
	sortedEndpoints []*endpointState // by address, so that decisions are reproducible
	sortedPools     []*pool          // by name
	queue           *queue
	lengthTable     *length.Table
	servedTokens    *workspace.Accounts         // tokens served to each workspace
	workspaceLimits map[string]catalogue.Limits // by workspace
	limiters        map[LimitKey]*workspace.Limiter
	round           uint64 // number of calls of Admit
	draining        bool
	closing         time.Time  // until which answers must have ended; zero: no limit
	decidedRequests []*Request // result of the latest Admit
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
		servedTokens:    workspace.NewAccounts(),
		workspaceLimits: make(map[string]catalogue.Limits),
		limiters:        make(map[LimitKey]*workspace.Limiter),
	}
}

// SetInstances sets the number of instances that share the endpoints and limits. It determines the default share while none is
// granted.
func (c *Core) SetInstances(count int) { c.config.Instances = max(count, 1) }

// SetDraining sets whether new requests are refused.
func (c *Core) SetDraining(draining bool) { c.draining = draining }

// SetEntry adds an entry or replaces it.
func (c *Core) SetEntry(entry *catalogue.Entry, _ time.Time) {
	p := c.pools[entry.Name]
	if p == nil {
		p = &pool{typicalTokenTime: priorTokenTime}
		c.pools[entry.Name] = p
	}
	defer c.rebuildOrder()
	previous := p.endpoints
	p.entry, p.endpoints = entry, nil
	for _, listed := range subset(c.config.Self, c.config.DataCentre, entry.Endpoints, c.config.SubsetSize) {
		e := c.endpoints[listed.Address]
		if e == nil {
			e = newEndpointState(listed.Address)
			c.endpoints[listed.Address] = e
		}
		e.entryCount++
		e.plainService = entry.Kind == catalogue.KindService
		e.dataCentre = listed.DataCentre
		e.version = listed.Version
		e.leavingInCatalogue = listed.Leaving
		p.endpoints = append(p.endpoints, e)
	}
	c.releaseEndpoints(previous)
}

// HasRuns reports whether runs of an entry are in progress.
func (c *Core) HasRuns(name string) bool {
	p := c.pools[name]
	return p != nil && p.running > 0
}

// RemoveEntry removes an entry; its queued requests are refused by the next Admit.
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

// UpdateLoad applies a load report of an engine; a report older than the latest one is ignored.
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

// UpdateCache applies cache events of an engine.
func (c *Core) UpdateCache(address netip.AddrPort, events []endpoint.CacheEvent) {
	if e := c.endpoints[address]; e != nil {
		e.cache.Apply(events)
	}
}

// SetLeaving sets whether an endpoint is leaving according to a source other than the catalogue and its load reports. A leaving
// endpoint takes no new work.
func (c *Core) SetLeaving(address netip.AddrPort, leaving bool) {
	if e := c.endpoints[address]; e != nil {
		e.leavingByEvidence = leaving
	}
}

// SetResting sets the time until which an endpoint is sent nothing, because it has asked for rest.
func (c *Core) SetResting(address netip.AddrPort, until time.Time) {
	if e := c.endpoints[address]; e != nil {
		e.restsUntil = until
	}
}

// ExtendRest is SetResting, unless a longer rest is known.
func (c *Core) ExtendRest(address netip.AddrPort, until time.Time) {
	if e := c.endpoints[address]; e != nil && until.After(e.restsUntil) {
		e.restsUntil = until
	}
}

// SetDoubted sets whether an endpoint may be leaving. It is sent work only if no other endpoint can take it.
func (c *Core) SetDoubted(address netip.AddrPort, doubted bool) {
	if e := c.endpoints[address]; e != nil {
		e.doubted = doubted
	}
}

// Tick does the periodic work; it must be called several times a second.
func (c *Core) Tick(now time.Time) {
	for _, p := range c.sortedPools {
		p.updateStartRate(now)
		p.updateTypicalTokenTime()
		c.ejectSlow(p, now)
	}
}
