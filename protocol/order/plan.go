package order

import (
	"cmp"
	"net/netip"
	"slices"

	"dogwooddyke/state/catalogue"
)

// Observation is what one look at an endpoint showed.
type Observation struct {
	Endpoint     catalogue.Endpoint
	Report       Report
	Answered     bool
	Leaving      bool // some source says so
	OrderPending bool // an order to it may still be on its way
}

// Step is one order to send; a pulling one makes the engine fetch weights.
type Step struct {
	Endpoint netip.AddrPort
	Order    Order
	Pulls    bool
}

// Plan is what follows from one look at all of an entry's endpoints.
type Plan struct {
	Steps    []Step
	Ready    int  // engines that serve, with whatever weights
	Current  int  // engines that serve as the catalogue says
	Loading  int  // engines that load
	Deferred int  // engines that would be changed but for the minimum or the weight store's rate
	Fenced   int  // engines with a later fencing number than this lease's
	Steady   bool // nothing is to be done or awaited
}

// planner collects the steps of one plan.
type planner struct {
	Plan
	entry             *catalogue.Entry
	fence             uint64
	limit             Limiter
	certainlyReady    int  // engines that serve and that no order on its way can stop
	olderOrdersFenced bool // no order of an older fencing number can take effect any more
}

// Limiter takes one order from what an endpoint may get now, and one pull from the weight store's rate if the order needs it.
type Limiter func(endpoint netip.AddrPort, pulls bool) bool

// NewPlan plans the next steps: engines without weights first, then a rolling change as far as the minimum allows.
func NewPlan(e *catalogue.Entry, observations []Observation, fence uint64, limit Limiter) Plan {
	p := &planner{entry: e, fence: fence, limit: limit, olderOrdersFenced: true}
	p.Steady = true
	var empty, stale []Observation
	for _, o := range observations {
		if o.Leaving || !o.Answered || o.Report.State == EngineLeaving {
			continue
		}
		target := desiredOrder(e, o.Endpoint, fence)
		current := o.Report.sameWeights(target)
		p.countEngine(o, current)
		switch {
		case o.Report.Fence > fence:
			p.Fenced++
		case current && o.Report.State != EngineEmpty:
			p.orderWithoutLoad(o, target)
		case o.Report.State == EngineReady:
			stale = append(stale, o)
		default:
			empty = append(empty, o)
		}
	}
	p.loadEmpty(empty)
	p.rollStale(stale, len(observations))
	return p.Plan
}

func (p *planner) countEngine(o Observation, current bool) {
	if p.entry.ChecksFence && o.Report.Fence < p.fence {
		p.olderOrdersFenced = false
	}
	switch o.Report.State {
	case EngineReady:
		p.Ready++
		if current {
			p.Current++
		}
		if current || !o.OrderPending {
			p.certainlyReady++
		}
	case EngineLoading:
		p.Steady = false
		if current {
			p.Loading++
		}
	}
}

// upToDate tells whether the engine needs no order: it has this one, and refuses older fencing numbers if it checks them.
func upToDate(e *catalogue.Entry, o Observation, target Order) bool {
	return o.Report.equivalent(target) && (!e.ChecksFence || o.Report.Fence == target.Fence)
}

// orderWithoutLoad sends an order that needs no weights: to name another role, or to make an engine refuse older fencing numbers.
func (p *planner) orderWithoutLoad(o Observation, target Order) {
	if upToDate(p.entry, o, target) {
		return
	}
	if p.limit(o.Endpoint.Address, false) {
		p.Steps = append(p.Steps, Step{Endpoint: o.Endpoint.Address, Order: target})
	}
}

// raiseFence makes an engine that is not to be changed yet refuse older fencing numbers.
func (p *planner) raiseFence(o Observation) {
	if !p.entry.ChecksFence || o.Report.Fence == p.fence || !p.limit(o.Endpoint.Address, false) {
		return
	}
	keep := o.Report.Order
	keep.Fence = p.fence
	p.Steps = append(p.Steps, Step{Endpoint: o.Endpoint.Address, Order: keep})
}

// loadEmpty orders engines that serve nothing; only the weight store's rate limits them.
func (p *planner) loadEmpty(empty []Observation) {
	for _, o := range empty {
		p.Steady = false
		if !p.limit(o.Endpoint.Address, true) {
			p.Deferred++
			continue
		}
		p.orderLoad(o)
	}
}

// rollStale changes engines that serve other weights, as long as enough others surely serve; one that may be stopping
// already comes first.
func (p *planner) rollStale(stale []Observation, engines int) {
	maximumLoading := max(1, engines/loadingDivisor)
	slices.SortStableFunc(stale, func(a, b Observation) int { return -cmp.Compare(boolRank(a.OrderPending), boolRank(b.OrderPending)) })
	for _, o := range stale {
		p.Steady = false
		mayStop := o.OrderPending || p.certainlyReady > p.entry.MinimumReady
		if !p.olderOrdersFenced || !mayStop || p.Loading >= maximumLoading || !p.limit(o.Endpoint.Address, true) {
			p.Deferred++
			p.raiseFence(o)
			continue
		}
		if !o.OrderPending {
			p.certainlyReady--
		}
		p.orderLoad(o)
	}
}

func (p *planner) orderLoad(o Observation) {
	p.Loading++
	order := desiredOrder(p.entry, o.Endpoint, p.fence)
	p.Steps = append(p.Steps, Step{Endpoint: o.Endpoint.Address, Order: order, Pulls: true})
}

func boolRank(first bool) int {
	if first {
		return 1
	}
	return 0
}
