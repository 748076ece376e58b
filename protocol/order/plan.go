package order

import (
	"cmp"
	"net/netip"
	"slices"

	"dogwooddyke/state/catalogue"
)

// Observation is the state of one endpoint as read by one check.
type Observation struct {
	Endpoint     catalogue.Endpoint // the endpoint as listed in the catalogue
	Report       Report             // the engine's report; valid only if Answered
	Answered     bool               // the engine answered the request for its report
	Leaving      bool               // at least one source reports the endpoint as leaving
	OrderPending bool               // an order with unknown outcome may still take effect at the engine
}

// Step is one order to be sent.
type Step struct {
	Endpoint netip.AddrPort // address of the engine
	Order    Order          // the order to send
	Pulls    bool           // the order makes the engine fetch weights from the weight store
}

// Plan contains the steps and counts that result from one check of all endpoints of an entry.
type Plan struct {
	Steps    []Step // orders to send
	Ready    int    // engines that serve, with any weights
	Current  int    // engines that serve the weights that the catalogue names
	Loading  int    // engines that load the weights that the catalogue names, or are ordered to
	Deferred int    // engines whose change has to wait, for example for the minimum of ready engines or the weight store's rate
	Fenced   int    // engines with a later fencing number than this lease's
	Steady   bool   // no engine has to load weights, and none is loading
}

// planner builds one plan.
type planner struct {
	Plan
	entry             *catalogue.Entry
	fence             uint64 // fencing number of the lease
	limit             Limiter
	certainlyReady    int  // engines that serve and that no pending order can stop
	olderOrdersFenced bool // no engine that checks fencing numbers would still accept an order with an older one
}

// Limiter reports whether an order may be sent to the endpoint now, and if so counts it; an order that pulls weights also counts
// against the weight store's rate.
type Limiter func(endpoint netip.AddrPort, pulls bool) bool

// NewPlan returns the next steps: first loads for engines that serve nothing, then a rolling change as far as the entry's minimum of
// ready engines allows.
func NewPlan(e *catalogue.Entry, observations []Observation, fence uint64, limit Limiter) Plan {
	p := &planner{entry: e, fence: fence, limit: limit, olderOrdersFenced: true}
	p.Steady = true
	var empty, stale []Observation
	for _, o := range observations {
		if o.Leaving || !o.Answered || o.Report.State == EngineLeaving {
			continue
		}
		desired := desiredOrder(e, o.Endpoint, fence)
		current := o.Report.sameWeights(desired)
		p.countEngine(o, current)
		switch {
		case o.Report.Fence > fence:
			p.Fenced++
		case current && o.Report.State != EngineEmpty:
			p.orderWithoutLoad(o, desired)
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

// countEngine adds one engine to the plan's counts; current reports whether it has the desired weights.
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

// upToDate reports whether the engine needs no order, because it has an equivalent one and, if it checks fencing numbers, already
// refuses older ones.
func upToDate(e *catalogue.Entry, o Observation, desired Order) bool {
	return o.Report.equivalent(desired) && (!e.ChecksFence || o.Report.Fence == desired.Fence)
}

// orderWithoutLoad adds an order for an engine that already has the desired weights, to change its role or to make it refuse older
// fencing numbers.
func (p *planner) orderWithoutLoad(o Observation, desired Order) {
	if upToDate(p.entry, o, desired) {
		return
	}
	if p.limit(o.Endpoint.Address, false) {
		p.Steps = append(p.Steps, Step{Endpoint: o.Endpoint.Address, Order: desired})
	}
}

// raiseFence adds an order that makes an engine with a deferred change refuse older fencing numbers.
func (p *planner) raiseFence(o Observation) {
	if !p.entry.ChecksFence || o.Report.Fence == p.fence || !p.limit(o.Endpoint.Address, false) {
		return
	}
	keep := o.Report.Order
	keep.Fence = p.fence
	p.Steps = append(p.Steps, Step{Endpoint: o.Endpoint.Address, Order: keep})
}

// loadEmpty adds orders for engines that serve nothing. Only the limiter can defer them: the minimum of ready engines does not apply,
// because these orders stop no engine that serves.
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

// rollStale adds orders for engines that serve other weights, as long as enough other engines certainly serve and no engine would still
// accept an order with an older fencing number. Engines with a pending order come first, because that order may already be stopping
// them.
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

// orderLoad adds an order that makes the engine load the desired weights.
func (p *planner) orderLoad(o Observation) {
	p.Loading++
	order := desiredOrder(p.entry, o.Endpoint, p.fence)
	p.Steps = append(p.Steps, Step{Endpoint: o.Endpoint.Address, Order: order, Pulls: true})
}

// boolRank returns 1 for true and 0 for false.
func boolRank(first bool) int {
	if first {
		return 1
	}
	return 0
}
