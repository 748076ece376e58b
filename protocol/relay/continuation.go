package relay

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
)

// continueMoved returns the dispatch with which a run continues that was stopped to be moved; nil if nothing takes it.
func (x *execution) continueMoved(d *Dispatch, m *move) *Dispatch {
	x.releaseUnused(x.paused)
	p := x.pause(d)
	if m.slot != nil {
		p.memories = append(p.memories, newCopyMemory(m))
	}
	p.memories = append(p.memories, x.takeSlot(sourceMemory(d.Endpoint, m.copy, routing.OutcomeCancelled)))
	p.memories = append(p.memories, x.backupMemories(d)...)
	p.source = &d.Endpoint
	return x.resume(d)
}

// continueUntaken returns the dispatch with which a run continues that the endpoint of a dispatch did not take, or may not have taken; nil if there
// is none. The endpoint may have said that it works on the run no more.
func (x *execution) continueUntaken(d *Dispatch, err error, stop stopState) *Dispatch {
	var next *Dispatch
	switch {
	case x.caller.Err() != nil:
		return nil
	case isNotRun(err):
		next = x.continueRefused(d, err)
	case x.asked != nil, !x.request.Route.Repeatable() && d.Copy != nil:
		next = x.continueElsewhere(d, err, stop, nil)
	}
	if next != nil {
		x.runner.Observer.RetryDecided(x.request, d.Endpoint, err, true)
	}
	return next
}

// continueRefused returns the next dispatch of a run that the endpoint of a dispatch refused to continue; nil if nothing is left of it. Such a refusal
// does not count for the endpoint's health, since the endpoint may only lack the memory.
func (x *execution) continueRefused(d *Dispatch, err error) *Dispatch {
	if x.paused == nil {
		return nil
	}
	outcome := slotOutcome(err)
	if outcome == routing.OutcomeRefused {
		outcome = routing.OutcomeCancelled
	}
	x.release(outcome)
	now := time.Now()
	current := x.paused.current
	if x.paused.refuse(err, now) && current.origin == OriginBackup {
		x.forgetBackup(current.address)
	}
	if current.origin == OriginCopy {
		x.moveAfter = now.Add(continuationPause << min(len(x.refusers), maximumMemoryRefusals))
		x.refusers = append(x.refusers, current.address)
	}
	return x.resume(d)
}

// continueElsewhere returns a dispatch that continues a run whose stream has broken off; nil if that is not possible, or if its endpoint may still work
// on it. A part of the run may have been copied for a move.
func (x *execution) continueElsewhere(d *Dispatch, cause error, stop stopState, part *move) *Dispatch {
	if x.request.Engine == nil || x.ctx.Err() != nil || x.result.Restores >= maximumRestores {
		return nil
	}
	x.result.Phase = PhaseBetween
	if x.screening.Admit(x.ctx, x.spec.Deadline) != nil {
		return nil
	}
	a := &askedRun{state: FormerEnded}
	if stop != stopped && x.request.Engine.Moves {
		if a = x.askFormer(d, cause); a == nil {
			return nil
		}
	}
	if a.state == FormerUnknown {
		releaseSlot(a.slot, routing.OutcomeCancelled)
		return nil
	}
	x.pauseBroken(d, a)
	if part != nil && a.state != FormerStopped {
		x.paused.memories = append(x.paused.memories, &runMemory{origin: OriginPart, address: part.endpoint.Address, endpoint: part.endpoint, copy: part.copy})
	}
	next := x.resume(d)
	if next != nil {
		x.result.Restores++
	}
	return next
}

// pauseBroken notes what is left of a run whose stream has broken off and that its endpoint works on no more. A slot at the target is released unless
// the run was copied there.
func (x *execution) pauseBroken(d *Dispatch, a *askedRun) {
	if x.request.Route.Repeatable() {
		x.exclude(d.Endpoint.Address) // from a repeat, if nothing takes the run
	}
	earlier := x.paused
	p := x.pause(d)
	if a.state != FormerStopped {
		releaseSlot(a.slot, routing.OutcomeCancelled)
		x.release(routing.OutcomeFailed)
		if earlier != nil { // the endpoint may not have used the copy
			earlier.markCurrentUsed()
			p.memories, p.source = slices.DeleteFunc(earlier.memories, func(m *runMemory) bool { return m.origin == OriginBackup }), earlier.source
		}
		p.memories = append(p.memories, x.backupMemories(d)...)
		return
	}
	x.releaseUnused(earlier)
	outcome := routing.OutcomeFailed
	if a.isCopied() {
		p.memories = append(p.memories, newCopyMemory(&move{copy: a.copied, slot: a.slot, endpoint: a.target}))
		outcome = routing.OutcomeCancelled
	} else {
		releaseSlot(a.slot, routing.OutcomeCancelled)
	}
	p.memories = append(p.memories, x.backupMemories(d)...)
	p.memories = append(p.memories, x.takeSlot(sourceMemory(d.Endpoint, a.copied, outcome)))
	p.source = &d.Endpoint
}

// pause notes that no endpoint works on the run of a dispatch any more.
func (x *execution) pause(d *Dispatch) *pausedRun {
	p := &pausedRun{since: time.Now()}
	if earlier := x.paused; earlier != nil {
		p.sends, p.copies = earlier.sends, earlier.copies
		if earlier.current != nil && earlier.current.origin == OriginBackup {
			x.forgetBackup(earlier.current.address)
		}
	}
	x.rememberBackup(d)
	x.paused = p
	return p
}

// endPause ends the pause of a run: it continues from the current memory, or not at all. What is not used is let go.
func (x *execution) endPause(taken bool) {
	p := x.paused
	if p == nil {
		return
	}
	x.paused = nil
	x.releaseUnused(p)
	if !taken {
		return
	}
	x.result.Moves++
	if p.current.origin == OriginBackup {
		x.forgetBackup(p.current.address)
	}
}

// releaseUnused releases the slots and frees the copies of a paused run that are not used.
func (x *execution) releaseUnused(p *pausedRun) {
	if p == nil {
		return
	}
	for _, m := range p.memories {
		releaseSlot(m.slot, m.outcome)
		m.slot = nil
	}
	for _, c := range p.unusedCopies() {
		x.runner.background.Go(func() { x.dropCopy(c) })
	}
}

// resume returns the dispatch with which the paused run continues; nil once nothing is left to continue from. It waits for an endpoint that can take
// the run, since a pause is better for the caller than the end; a run that may run again does not wait.
func (x *execution) resume(d *Dispatch) *Dispatch {
	for p := x.paused; !p.isOver() && x.ctx.Err() == nil; {
		for _, m := range p.ready(time.Now()) {
			if next := x.continueFrom(d, m); next != nil {
				return next
			}
		}
		if m := x.copyAgain(d); m != nil {
			return x.continueFrom(d, m)
		}
		if x.request.Route.Repeatable() || !p.mayWait(time.Now()) || wait.For(x.ctx, continuationPollInterval) != nil {
			return nil
		}
	}
	return nil
}

// continueFrom returns the dispatch that continues the run from a memory; nil if its endpoint can't be sent the request now. The first dispatch to an
// endpoint that has a memory does not count against the retry budget, one after its refusal does.
func (x *execution) continueFrom(d *Dispatch, m *runMemory) *Dispatch {
	p := x.paused
	endpoint, found := m.endpoint, true
	if m.origin == OriginBackup {
		endpoint, found = x.runner.Roster.At(x.request.Service, m.address)
	}
	if !found || !isVersion(endpoint, d.Endpoint.Version) || !x.mayReceive(endpoint, time.Now()) {
		p.remove(m)
		releaseSlot(m.slot, m.outcome)
		m.slot = nil
		return nil
	}
	switch {
	case m.slot == nil:
		spec := x.specAfter(d)
		spec.PreferredEndpoint, spec.PreferredOnly, spec.Exclude = m.address, true, nil
		slot, err := x.runner.Router.Place(&spec)
		if err != nil {
			return nil
		}
		if m.reached && !x.runner.Budgets.Of(x.request.Service).Take(x.runner.RetryLimits(), time.Now()) {
			slot.Release(routing.OutcomeCancelled, time.Now())
			return nil
		}
		x.slot = slot
	case m.origin == OriginSource:
		m.slot.Resend(time.Now())
		x.slot = m.slot
	default:
		x.slot = m.slot
	}
	m.slot = nil
	p.current = m
	p.sends++
	next := *d
	next.Endpoint, next.After, next.Copy, next.Origin = endpoint, x.lastEvent, &m.copy, m.origin
	return &next
}

// copyAgain has the endpoint that stopped the run copy its memory to a further endpoint, and returns the copy; nil if there is none.
func (x *execution) copyAgain(d *Dispatch) *runMemory {
	p := x.paused
	if p.source == nil || p.copies >= maximumFurtherCopies {
		p.source = nil
		return nil
	}
	spec := x.specAfter(d)
	spec.PreferredEndpoint = netip.AddrPort{}
	spec.Exclude = append(spec.Exclude, p.addresses()...)
	slot, err := x.runner.Router.Place(&spec)
	if err != nil {
		return nil
	}
	slot, target, found := x.lookUp(slot, spec.Version)
	if !found {
		return nil
	}
	p.copies++
	began := time.Now()
	ctx, cancel := context.WithTimeout(x.ctx, stopTimeout)
	defer cancel()
	copied, err := x.runner.Endpoints.Move(ctx, x.request.ID, *p.source, target.Address, true)
	x.runner.Observer.Moved(x.request, p.source.Address, target.Address, copied, true, began, err)
	p.copiedAgain(copied)
	if err != nil {
		slot.Release(routing.OutcomeCancelled, time.Now())
		if errors.Is(err, ErrNoRun) || errors.Is(err, ErrUnreached) {
			p.source = nil
		}
		return nil
	}
	m := newCopyMemory(&move{copy: copied, slot: slot, endpoint: target})
	p.memories = append(p.memories, m)
	return m
}

// newCopyMemory returns the memory of a complete copy.
func newCopyMemory(m *move) *runMemory {
	return &runMemory{origin: OriginCopy, address: m.endpoint.Address, endpoint: m.endpoint, copy: m.copy, slot: m.slot, outcome: routing.OutcomeCancelled}
}

// sourceMemory returns the memory that an endpoint keeps which has stopped a run.
func sourceMemory(source Endpoint, copied Copy, outcome routing.Outcome) *runMemory {
	return &runMemory{origin: OriginSource, address: source.Address, endpoint: source, copy: copied, outcome: outcome}
}
