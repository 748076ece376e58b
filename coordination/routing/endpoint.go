package routing

import (
	"net/netip"
	"time"

	"dogwooddyke/state/endpoint"
)

// endpointState is what this instance knows about one endpoint, and its own requests there.
type endpointState struct {
	address            netip.AddrPort
	dataCentre         string
	version            string    // of its software; empty: unknown
	entryCount         int       // entries that use the endpoint
	plainService       bool      // reports no load and has no shares
	leavingInCatalogue bool      // the catalogue lists it as leaving
	leavingByEvidence  bool      // set by SetLeaving
	doubted            bool      // it may be leaving; set by SetDoubted
	restsUntil         time.Time // time until which it is sent nothing; set by SetResting
	load               endpoint.Load
	loadReceived       time.Time // when load was received; zero: never
	ownRunsAtLoad      int       // runs of this instance there when load was received
	preemptions        int       // at the latest load report; unused
	share              endpoint.Share
	speed              *endpoint.Speed
	peerPromptTokens   int // prompt tokens of other instances' runs that have produced no token yet
	peerSamples        int // samples of speed that came from other instances
	cache              *endpoint.Cache
	health             endpoint.Health
	quota              quota
	runs               []*Request // requests of this instance in progress there
	backups            []*Request // runs at other endpoints whose backup is kept there
	profile            profile
	prefill            endpoint.Prefill
	peerPrefillSamples int // observations of prefill that came from other instances
	peerPrompts        int // prompts that peerPromptTokens counts
}

func newEndpointState(address netip.AddrPort) *endpointState {
	return &endpointState{
		address: address,
		speed:   endpoint.NewSpeed(),
		cache:   endpoint.NewCache(),
	}
}

func (e *endpointState) running() int { return len(e.runs) }

func (e *endpointState) leaving() bool {
	return e.leavingInCatalogue || e.leavingByEvidence || e.load.State == endpoint.StateLeaving
}

// peerRuns returns the estimated number of runs of other instances on the endpoint; it is 0 if the load is unknown or stale.
func (e *endpointState) peerRuns(now time.Time) int {
	if e.loadReceived.IsZero() || now.Sub(e.loadReceived) > maximumLoadAge {
		return 0
	}
	return max(e.load.Running+e.load.Waiting-e.ownRunsAtLoad, 0)
}

// batch returns the estimated number of runs of all instances on the endpoint.
func (e *endpointState) batch(now time.Time) int { return e.running() + e.peerRuns(now) }

// pendingPromptTokens returns the prompt tokens of the runs that have produced no token yet; a new prompt waits for them.
func (e *endpointState) pendingPromptTokens() int {
	sum := e.peerPromptTokens
	for _, r := range e.runs {
		if r.emittedTokens.Load() == 0 {
			sum += r.promptTokens()
		}
	}
	return sum
}

// pendingPrompts returns the number of this instance's runs that have produced no token yet.
func (e *endpointState) pendingPrompts() int {
	count := 0
	for _, r := range e.runs {
		if r.emittedTokens.Load() == 0 {
			count++
		}
	}
	return count
}

func (e *endpointState) capacityTokens() int {
	if e.load.CapacityTokens > 0 {
		return e.load.CapacityTokens
	}
	return defaultCapacityTokens
}

// currentShare returns the granted share or, if it has expired, an equal part of the endpoint's estimated capacity.
func (e *endpointState) currentShare(instances int, now time.Time) endpoint.Share {
	if now.Before(e.share.Until) {
		return e.share
	}
	slots := defaultSlots
	if !e.loadReceived.IsZero() {
		slots = e.speed.Knee()
	}
	return endpoint.Share{Slots: max(slots/instances, 1), Memory: e.capacityTokens() / instances, Spread: 1}
}

// refreshProfile recomputes the predicted memory use if it is older than maximumProfileAge.
func (e *endpointState) refreshProfile(now time.Time) {
	if now.Sub(e.profile.computed) < maximumProfileAge {
		return
	}
	e.profile = profile{computed: now}
	for _, r := range e.runs {
		e.profile.add(r)
	}
	for _, r := range e.backups {
		e.profile.add(r)
	}
}

func (e *endpointState) addRun(r *Request) {
	e.runs = append(e.runs, r)
	e.profile.add(r)
	e.cache.Dispatched(r.spec.Prefix)
	e.health.Dispatched()
}

func (e *endpointState) removeRun(r *Request) {
	for i, other := range e.runs {
		if other == r {
			last := len(e.runs) - 1
			e.runs[i] = e.runs[last]
			e.runs[last] = nil
			e.runs = e.runs[:last]
			break
		}
	}
	e.profile.remove(r)
}
