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
	load     endpoint.Load // latest polled load
	loadedAt time.Time     // when the load was last updated; zero if it never was
}

// endpointHolder is the record of one instance that uses the endpoint.
type endpointHolder = holderRecord[endpoint.Demand, endpoint.Share]

// inUse reports whether an instance that asked recently has running or waiting requests at the endpoint.
func (l *endpointLedger) inUse(now time.Time) bool {
	for _, h := range l.holders {
		if now.Sub(h.seenAt) <= grantDuration && (h.demand.Running > 0 || h.demand.Waiting > 0) {
			return true
		}
	}
	return false
}

// knee returns the median of the knees that the instances learnt, that is, of the largest batches within the target interval;
// defaultSlots if none is known.
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

// unaccounted returns the number of generations that the engine reports beyond the granted ones, such as those of instances that are
// cut off from the steward.
func (l *endpointLedger) unaccounted(now time.Time) int {
	if now.Sub(l.loadedAt) > maximumLoadAge {
		return 0
	}
	granted := 0
	for _, h := range l.holders {
		granted += max(h.share.Slots, h.demand.Running)
	}
	return max(l.load.Running+l.load.Waiting-granted, 0)
}

// grant computes, stores and returns the share of the holder at the index.
func (l *endpointLedger) grant(index, instances int, now time.Time) endpoint.Share {
	spread := l.spreadFactors()
	slots := l.fairSlots(index, now)
	memory := l.fairMemory(index, spread, now)
	if now.Sub(l.openedAt) < settleDuration {
		slots, memory = l.boundWhileNew(index, slots, memory, instances, now)
	}
	h := &l.holders[index]
	h.share = endpoint.Share{Slots: slots, Memory: memory, Spread: spread[index], Until: now.Add(grantDuration)}
	return h.share
}

// fairSlots returns the fair share of the slots for the holder at the index, bounded by what the unexpired shares of the others leave.
func (l *endpointLedger) fairSlots(index int, now time.Time) int {
	total := max(l.knee()-l.unaccounted(now), 1)
	demands := make([]float64, len(l.holders))
	free := total
	for i, h := range l.holders {
		demands[i] = float64(h.demand.Running + h.demand.Waiting)
		if i != index {
			free -= max(h.demand.Running, heldSlots(h, now))
		}
	}
	fair := roundParts(divideAll(float64(total), demands))[index]
	return max(min(fair, free), 0)
}

// heldSlots returns the slots of the holder's share, 0 once it has expired.
func heldSlots(h endpointHolder, now time.Time) int {
	if now.After(h.share.Until) {
		return 0
	}
	return h.share.Slots
}

// spreadFactors returns for each holder the factor by which its own memory margin is multiplied, so that the margins of all holders
// together cover the standard deviation of the total memory.
func (l *endpointLedger) spreadFactors() []float64 {
	sum := 0.0
	for _, h := range l.holders {
		sum += h.demand.Variance
	}
	factors := make([]float64, len(l.holders))
	for i, h := range l.holders {
		factors[i] = 1
		if sum > 0 {
			factors[i] = max(math.Sqrt(h.demand.Variance/sum), minimumSpreadFactor)
		}
	}
	return factors
}

// capacity returns the KV memory of the engine that may be granted, in tokens.
func (l *endpointLedger) capacity() float64 {
	return grantedMemoryFraction * float64(cmp.Or(l.load.CapacityTokens, defaultMemory))
}

// fairMemory returns the share of the KV memory, in tokens, for the holder at the index: the expected need of its generations in progress,
// its fair share of the remainder for its queued requests, and an equal part of what is then left, or room for one more request if that
// is more. The result is bounded by what the unexpired shares of the others leave.
func (l *endpointLedger) fairMemory(index int, spread []float64, now time.Time) int {
	committed := make([]float64, len(l.holders))
	wanted := make([]float64, len(l.holders))
	left, free := l.capacity(), l.capacity()
	for i, h := range l.holders {
		committed[i] = float64(h.demand.Memory) + deviationMargin*spread[i]*math.Sqrt(h.demand.Variance)
		wanted[i] = float64(h.demand.Wanted)
		left -= committed[i]
		if i != index {
			free -= max(committed[i], heldMemory(h, now))
		}
	}
	parts := divideMaxMin(left, wanted)
	for _, part := range parts {
		left -= part
	}
	extra := max(left/float64(len(parts)), spareRequestFactor*float64(l.holders[index].demand.Need))
	granted := committed[index] + parts[index] + max(min(extra, left), 0)
	return int(max(min(granted, free), 0))
}

// heldMemory returns the KV memory of the holder's share in tokens, 0 once it has expired.
func heldMemory(h endpointHolder, now time.Time) float64 {
	if now.After(h.share.Until) {
		return 0
	}
	return float64(h.share.Memory)
}

// boundWhileNew bounds a grant to an equal part, or to the share already held if that is more, while the steward is new and may not know
// all shares that are held.
func (l *endpointLedger) boundWhileNew(index, slots, memory, instances int, now time.Time) (boundSlots, boundMemory int) {
	count := max(instances, len(l.holders))
	equalSlots, equalMemory := max(l.knee()/count, 1), int(l.capacity())/count
	if h := l.holders[index]; !now.After(h.share.Until) {
		equalSlots, equalMemory = max(equalSlots, h.share.Slots), max(equalMemory, h.share.Memory)
	}
	return min(slots, equalSlots), min(memory, equalMemory)
}
