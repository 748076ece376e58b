package routing

import (
	"net/netip"
	"time"

	"dogwooddyke/state/endpoint"
)

// account is one endpoint as this instance knows and uses it.
type endpointState struct {
	address            netip.AddrPort
	dataCentre         string
	entryCount         int  // that use the endpoint
	plainService       bool // a plain service, which reports no load and is not shared out
	leavingInCatalogue bool // leaving, by the catalogue
	leavingByEvidence  bool // leaving, by evidence
	load               endpoint.Load
	loadReceived       time.Time // when the load was received
	ownRunsAtLoad      int
	preemptions        int // at the latest report
	share              endpoint.Share
	speed              *endpoint.Speed
	peerPromptTokens   int // tokens of prompts that other instances have sent there and that have given no token yet
	peerSamples        int // observations of its speed that came from other instances
	cache              *endpoint.Cache
	health             endpoint.Health
	runs               []*Request
	backups            []*Request // runs elsewhere whose memory is copied here
	profile            profile
	prefillSeconds     float64 // seconds for a prompt token that is not cached
}

func newEndpointState(address netip.AddrPort) *endpointState {
	return &endpointState{
		address:        address,
		speed:          endpoint.NewSpeed(),
		cache:          endpoint.NewCache(),
		prefillSeconds: priorPrefillSeconds,
	}
}

func (e *endpointState) running() int { return len(e.runs) }

func (e *endpointState) leaving() bool {
	return e.leavingInCatalogue || e.leavingByEvidence || e.load.State == endpoint.StateLeaving
}

// others estimates the generations that other instances have in progress.
func (e *endpointState) peerRuns(now time.Time) int {
	if e.loadReceived.IsZero() || now.Sub(e.loadReceived) > maximumLoadAge {
		return 0
	}
	return max(e.load.Running+e.load.Waiting-e.ownRunsAtLoad, 0)
}

func (e *endpointState) batch(now time.Time) int { return e.running() + e.peerRuns(now) }

// prompts gives the tokens of prompts that are to be read there before another one.
func (e *endpointState) pendingPromptTokens() int {
	sum := e.peerPromptTokens
	for _, r := range e.runs {
		if r.emittedTokens.Load() == 0 {
			sum += r.promptTokens()
		}
	}
	return sum
}

func (e *endpointState) capacityTokens() int {
	if e.load.CapacityTokens > 0 {
		return e.load.CapacityTokens
	}
	return defaultCapacityTokens
}

// current gives the share in force: the granted one, or a cautious part when that has run out.
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

// foresee brings the memory profile up to date.
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
