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
	entry *catalogue.Entry
	fence uint64
	may   Limiter
	sure  int  // engines that serve and that no order on its way can stop
	clear bool // no order of an older fencing number can take effect any more
}

// Limiter takes one order from what an endpoint may get now, and one pull from the weight store's rate if the order needs it.
type Limiter func(endpoint netip.AddrPort, pulls bool) bool

// NewPlan plans the next steps: engines without weights first, then a rolling change as far as the minimum allows.
func NewPlan(e *catalogue.Entry, seen []Observation, fence uint64, may Limiter) Plan {
	p := &planner{entry: e, fence: fence, may: may, clear: true}
	p.Steady = true
	var empty, stale []Observation
	for _, s := range seen {
		if s.Leaving || !s.Answered || s.Report.State == EngineLeaving {
			continue
		}
		target := wanted(e, s.Endpoint, fence)
		current := s.Report.sameWeights(target)
		p.count(s, current)
		switch {
		case s.Report.Fence > fence:
			p.Fenced++
		case current && s.Report.State != EngineEmpty:
			p.relabel(s, target)
		case s.Report.State == EngineReady:
			stale = append(stale, s)
		default:
			empty = append(empty, s)
		}
	}
	p.load(empty)
	p.roll(stale, len(seen))
	return p.Plan
}

func (p *planner) count(s Observation, current bool) {
	if p.entry.ChecksFence && s.Report.Fence < p.fence {
		p.clear = false
	}
	switch s.Report.State {
	case EngineReady:
		p.Ready++
		if current {
			p.Current++
		}
		if current || !s.OrderPending {
			p.sure++
		}
	case EngineLoading:
		p.Steady = false
		if current {
			p.Loading++
		}
	}
}

// settled tells whether the engine needs no order: it has this one, and refuses older fencing numbers if it checks them.
func settled(e *catalogue.Entry, s Observation, target Order) bool {
	return s.Report.same(target) && (!e.ChecksFence || s.Report.Fence == target.Fence)
}

// relabel sends an order that needs no weights: to name another role, or to make an engine refuse older fencing numbers.
func (p *planner) relabel(s Observation, target Order) {
	if settled(p.entry, s, target) {
		return
	}
	if p.may(s.Endpoint.Address, false) {
		p.Steps = append(p.Steps, Step{Endpoint: s.Endpoint.Address, Order: target})
	}
}

// fenceOff makes an engine that is not to be changed yet refuse older fencing numbers.
func (p *planner) fenceOff(s Observation) {
	if !p.entry.ChecksFence || s.Report.Fence == p.fence || !p.may(s.Endpoint.Address, false) {
		return
	}
	keep := s.Report.Order
	keep.Fence = p.fence
	p.Steps = append(p.Steps, Step{Endpoint: s.Endpoint.Address, Order: keep})
}

// load orders engines that serve nothing; only the weight store's rate limits them.
func (p *planner) load(empty []Observation) {
	for _, s := range empty {
		p.Steady = false
		if !p.may(s.Endpoint.Address, true) {
			p.Deferred++
			continue
		}
		p.pull(s)
	}
}

// roll changes engines that serve other weights, as long as enough others surely serve; one that may be stopping
// already comes first.
func (p *planner) roll(stale []Observation, engines int) {
	most := max(1, engines/loadingParts)
	slices.SortStableFunc(stale, func(a, b Observation) int { return -cmp.Compare(rank(a.OrderPending), rank(b.OrderPending)) })
	for _, s := range stale {
		p.Steady = false
		spare := s.OrderPending || p.sure > p.entry.MinimumReady
		if !p.clear || !spare || p.Loading >= most || !p.may(s.Endpoint.Address, true) {
			p.Deferred++
			p.fenceOff(s)
			continue
		}
		if !s.OrderPending {
			p.sure--
		}
		p.pull(s)
	}
}

func (p *planner) pull(s Observation) {
	p.Loading++
	order := wanted(p.entry, s.Endpoint, p.fence)
	p.Steps = append(p.Steps, Step{Endpoint: s.Endpoint.Address, Order: order, Pulls: true})
}

func rank(first bool) int {
	if first {
		return 1
	}
	return 0
}
