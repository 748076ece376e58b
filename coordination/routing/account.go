package routing

import (
	"net/netip"
	"time"

	"dogwooddyke/state/endpoint"
)

// account is one endpoint as this instance knows and uses it.
type account struct {
	address      netip.AddrPort
	dataCentre   string
	entries      int  // that use the endpoint
	service      bool // a plain service, which reports no load and is not shared out
	marked       bool // leaving, by the catalogue
	left         bool // leaving, by evidence
	load         endpoint.Load
	loaded       time.Time // when the load was received
	ownAtLoad    int
	preemptions  int // at the latest report
	share        endpoint.Share
	speed        *endpoint.Speed
	othersPrompt int // tokens of prompts that other instances have sent there and that have given no token yet
	told         int // observations of its speed that came from other instances
	cache        *endpoint.Cache
	health       endpoint.Health
	flights      []*Request
	copies       []*Request // runs elsewhere whose memory is copied here
	profile      profile
	prefill      float64 // seconds for a prompt token that is not cached
}

func newAccount(address netip.AddrPort) *account {
	return &account{
		address: address,
		speed:   endpoint.NewSpeed(),
		cache:   endpoint.NewCache(),
		prefill: priorPrefill,
	}
}

func (a *account) running() int { return len(a.flights) }

func (a *account) leaving() bool {
	return a.marked || a.left || a.load.State == endpoint.StateLeaving
}

// others estimates the generations that other instances have in progress.
func (a *account) others(now time.Time) int {
	if a.loaded.IsZero() || now.Sub(a.loaded) > loadStale {
		return 0
	}
	return max(a.load.Running+a.load.Waiting-a.ownAtLoad, 0)
}

func (a *account) batch(now time.Time) int { return a.running() + a.others(now) }

// prompts gives the tokens of prompts that are to be read there before another one.
func (a *account) prompts() int {
	sum := a.othersPrompt
	for _, f := range a.flights {
		if f.emitted.Load() == 0 {
			sum += f.prompt()
		}
	}
	return sum
}

func (a *account) capacity() int {
	if a.load.CapacityTokens > 0 {
		return a.load.CapacityTokens
	}
	return defaultCapacity
}

// current gives the share in force: the granted one, or a cautious part when that has run out.
func (a *account) current(instances int, now time.Time) endpoint.Share {
	if now.Before(a.share.Until) {
		return a.share
	}
	slots := defaultSlots
	if !a.loaded.IsZero() {
		slots = a.speed.Knee()
	}
	return endpoint.Share{Slots: max(slots/instances, 1), Memory: a.capacity() / instances, Spread: 1}
}

// foresee brings the memory profile up to date.
func (a *account) foresee(now time.Time) {
	if now.Sub(a.profile.made) < profilePeriod {
		return
	}
	a.profile = profile{made: now}
	for _, f := range a.flights {
		a.profile.add(f)
	}
	for _, f := range a.copies {
		a.profile.add(f)
	}
}

func (a *account) start(f *Request) {
	a.flights = append(a.flights, f)
	a.profile.add(f)
	a.cache.Dispatched(f.ask.Prefix)
	a.health.Dispatched()
}

func (a *account) end(f *Request) {
	for i, other := range a.flights {
		if other == f {
			last := len(a.flights) - 1
			a.flights[i] = a.flights[last]
			a.flights[last] = nil
			a.flights = a.flights[:last]
			break
		}
	}
	a.profile.remove(f)
}
