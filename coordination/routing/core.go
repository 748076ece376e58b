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
	Admitted(entry, workspace string, wait time.Time, now time.Time)
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

func (c *Config) fill() {
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c.Instances = max(c.Instances, 1)
	c.Sample = orDefault(c.Sample, defaultSample)
	c.Subset = orDefault(c.Subset, defaultSubset)
	c.QueueBound = orDefault(c.QueueBound, defaultQueueBound)
	if c.PromptWeight <= 0 {
		c.PromptWeight = defaultPromptWeight
	}
	c.WorkspaceBound = orDefault(c.WorkspaceBound, defaultWorkspaceBound)
}

func orDefault(value, other int) int {
	if value > 0 {
		return value
	}
	return other
}

// Core is the router's logic without locks, I/O or clocks: one caller at a time, who passes the time in.
type Core struct {
	config   Config
	pools    map[string]*pool
	accounts map[netip.AddrPort]*account
	order    []*account // by address, so that equal runs decide alike
	entries  []*pool    // by name
	queue    *queue
	lengths  *length.Table
	service  *workspace.Accounts
	limits   map[string]catalogue.Limits // of workspaces
	limiters map[LimitKey]*workspace.Limiter
	round    uint64
	draining bool
	decided  []*Flight
}

// NewCore returns a core without entries.
func NewCore(config Config) *Core {
	config.fill()
	return &Core{
		config:   config,
		pools:    make(map[string]*pool),
		accounts: make(map[netip.AddrPort]*account),
		queue:    newQueue(),
		lengths:  length.NewTable(),
		service:  workspace.NewAccounts(),
		limits:   make(map[string]catalogue.Limits),
		limiters: make(map[LimitKey]*workspace.Limiter),
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
	defer c.sort()
	former := p.accounts
	p.entry, p.accounts = entry, nil
	for _, e := range subset(c.config.Self, c.config.DataCentre, entry.Endpoints, c.config.Subset) {
		a := c.accounts[e.Address]
		if a == nil {
			a = newAccount(e.Address)
			c.accounts[e.Address] = a
		}
		a.entries++
		a.service = entry.Kind == catalogue.KindService
		a.dataCentre = e.DataCentre
		a.marked = e.Leaving
		p.accounts = append(p.accounts, a)
	}
	c.drop(former)
}

// RemoveEntry forgets an entry; its queued requests are refused at the next Admit.
func (c *Core) RemoveEntry(name string) {
	if p := c.pools[name]; p != nil {
		delete(c.pools, name)
		c.drop(p.accounts)
		p.accounts = nil
		c.sort()
	}
}

func (c *Core) sort() {
	c.order, c.entries = c.order[:0], c.entries[:0]
	for _, a := range c.accounts {
		c.order = append(c.order, a)
	}
	for _, p := range c.pools {
		c.entries = append(c.entries, p)
	}
	slices.SortFunc(c.order, func(a, b *account) int { return a.address.Compare(b.address) })
	slices.SortFunc(c.entries, func(a, b *pool) int { return cmp.Compare(a.entry.Name, b.entry.Name) })
}

func (c *Core) drop(accounts []*account) {
	for _, a := range accounts {
		if a.entries--; a.entries == 0 {
			delete(c.accounts, a.address)
		}
	}
}

// UpdateLoad takes in an engine's report.
func (c *Core) UpdateLoad(address netip.AddrPort, load endpoint.Load, now time.Time) {
	a := c.accounts[address]
	if a == nil || load.At.Before(a.load.At) {
		return
	}
	if c.config.Observer != nil && !a.loaded.IsZero() && load.Preemptions > a.load.Preemptions {
		c.config.Observer.Preempted(address, load.Preemptions-a.load.Preemptions)
	}
	if load.Preemptions < a.load.Preemptions {
		a.cache.Clear()
	}
	a.load, a.loaded, a.ownAtLoad = load, now, a.running()
}

// UpdateCache takes in an engine's cache events.
func (c *Core) UpdateCache(address netip.AddrPort, events []endpoint.CacheEvent) {
	if a := c.accounts[address]; a != nil {
		a.cache.Apply(events)
	}
}

// SetLeaving says whether any source but the catalogue and the endpoint's load calls it leaving; it then takes no new work.
func (c *Core) SetLeaving(address netip.AddrPort, leaving bool) {
	if a := c.accounts[address]; a != nil {
		a.left = leaving
	}
}

// Tick does what hangs on time alone; call it a few times a second.
func (c *Core) Tick(now time.Time) {
	for _, p := range c.entries {
		p.count(now)
		c.judgeSpeed(p, now)
	}
}
