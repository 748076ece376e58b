package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dogwooddyke/state/endpoint"
)

// endpointLedger is a steward's account of one endpoint.
type endpointLedger struct {
	ledger[endpoint.Demand, endpoint.Share]
	load   endpoint.Load
	loaded time.Time
}

// endpointHolder is one instance that works with the endpoint.
type endpointHolder = holder[endpoint.Demand, endpoint.Share]

// busy tells whether an instance uses the endpoint or lately did.
func (l *endpointLedger) busy(now time.Time) bool {
	for _, h := range l.holders {
		if now.Sub(h.seen) <= grantSpan && (h.demand.Running > 0 || h.demand.Waiting > 0) {
			return true
		}
	}
	return false
}

// knee gives the median of what the instances learnt.
func (l *endpointLedger) knee() int {
	knees := make([]int, 0, len(l.holders))
	for _, h := range l.holders {
		if h.demand.Knee > 0 {
			knees = append(knees, h.demand.Knee)
		}
	}
	if len(knees) == 0 {
		return defaultSlots
	}
	slices.Sort(knees)
	return knees[len(knees)/2]
}

// unknown gives the generations that the engine reports beyond what was granted, such as those of instances that are cut off.
func (l *endpointLedger) unknown(now time.Time) int {
	if now.Sub(l.loaded) > loadFresh {
		return 0
	}
	granted := 0
	for _, h := range l.holders {
		granted += max(h.share.Slots, h.demand.Running)
	}
	return max(l.load.Running+l.load.Waiting-granted, 0)
}

// grant decides the share of the instance at the place.
func (l *endpointLedger) grant(place, instances int, now time.Time) endpoint.Share {
	spread := l.spreads()
	slots := l.slots(place, now)
	memory := l.memory(place, spread, now)
	if now.Sub(l.opened) < settleSpan {
		slots, memory = l.cautious(place, slots, memory, instances, now)
	}
	h := &l.holders[place]
	h.share = endpoint.Share{Slots: slots, Memory: memory, Spread: spread[place], Until: now.Add(grantSpan)}
	return h.share
}

// slots gives the instance its fair part of the slots, as far as others' unexpired shares leave it.
func (l *endpointLedger) slots(place int, now time.Time) int {
	total := max(l.knee()-l.unknown(now), 1)
	demands := make([]float64, len(l.holders))
	free := total
	for i, h := range l.holders {
		demands[i] = float64(h.demand.Running + h.demand.Waiting)
		if i != place {
			free -= max(h.demand.Running, heldSlots(h, now))
		}
	}
	fair := whole(fillAll(float64(total), demands))[place]
	return max(min(fair, free), 0)
}

func heldSlots(h endpointHolder, now time.Time) int {
	if now.After(h.share.Until) {
		return 0
	}
	return h.share.Slots
}

// spreads gives each instance's factor on its own margin, so that all margins together cover the spread of the sum.
func (l *endpointLedger) spreads() []float64 {
	sum := 0.0
	for _, h := range l.holders {
		sum += h.demand.Variance
	}
	factors := make([]float64, len(l.holders))
	for i, h := range l.holders {
		factors[i] = 1
		if sum > 0 {
			factors[i] = max(math.Sqrt(h.demand.Variance/sum), leastSpread)
		}
	}
	return factors
}

func (l *endpointLedger) capacity() float64 {
	return memoryPart * float64(cmp.Or(l.load.CapacityTokens, defaultMemory))
}

// memory gives the instance what its generations in progress are expected to need, its fair part of what is left for queued
// requests, and of the rest an equal part, or room for one more request if that is more.
func (l *endpointLedger) memory(place int, spread []float64, now time.Time) int {
	committed := make([]float64, len(l.holders))
	wanted := make([]float64, len(l.holders))
	left, free := l.capacity(), l.capacity()
	for i, h := range l.holders {
		committed[i] = float64(h.demand.Memory) + spreadMargin*spread[i]*math.Sqrt(h.demand.Variance)
		wanted[i] = float64(h.demand.Wanted)
		left -= committed[i]
		if i != place {
			free -= max(committed[i], heldMemory(h, now))
		}
	}
	parts := fill(left, wanted)
	for _, part := range parts {
		left -= part
	}
	more := max(left/float64(len(parts)), requestMargin*float64(l.holders[place].demand.Need))
	granted := committed[place] + parts[place] + max(min(more, left), 0)
	return int(max(min(granted, free), 0))
}

func heldMemory(h endpointHolder, now time.Time) float64 {
	if now.After(h.share.Until) {
		return 0
	}
	return float64(h.share.Memory)
}

// cautious bounds a grant while the steward is new and may not know all that is held.
func (l *endpointLedger) cautious(place, slots, memory, instances int, now time.Time) (boundSlots, boundMemory int) {
	part := max(instances, len(l.holders))
	equalSlots, equalMemory := max(l.knee()/part, 1), int(l.capacity())/part
	if h := l.holders[place]; !now.After(h.share.Until) {
		equalSlots, equalMemory = max(equalSlots, h.share.Slots), max(equalMemory, h.share.Memory)
	}
	return min(slots, equalSlots), min(memory, equalMemory)
}
