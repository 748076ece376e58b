package relay

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"dogwooddyke/coordination/routing"
)

// reserver reserves what a request at a silent endpoint needs to be sent once more: a place, and a permit of the retry budget. The endpoint may be
// slow, so its attempt is given up only then.
type reserver struct {
	execution *execution
	former    Endpoint         // at which the request is
	latest    time.Time        // until which a repeat may go to the former endpoint as well, if that is the last moment
	exclude   []netip.AddrPort // endpoints that the next ask excludes
}

// newReserver returns a reserver for a dispatch that is late after the timeout. What the endpoint has done is lost if a repeat goes to the endpoint itself.
// It does so only in the last moment in which the repeat has as much time until it is late.
func (x *execution) newReserver(d *Dispatch, timeout time.Duration) *reserver {
	r := &reserver{execution: x, former: d.Endpoint, latest: x.request.Deadline.Add(-timeout)}
	if x.spec.Deadline.Before(r.latest) {
		r.latest = x.spec.Deadline
	}
	r.exclude = append(x.spec.Exclude[:len(x.spec.Exclude):len(x.spec.Exclude)], d.Endpoint.Address)
	return r
}

// mayRepeatSilent reports whether the attempt that begins may be followed by another one if its endpoint is silent.
func (x *execution) mayRepeatSilent() bool {
	return x.request.Route.Repeatable() && x.mayHaveRun+1 < x.request.Route.Attempts
}

// reserve asks once for what a repeat needs, and reports whether the request has it.
func (r *reserver) reserve(ctx context.Context, s *silenceTimer) bool {
	x := r.execution
	read := s.reads.Load()
	slot, err := r.ask(ctx)
	if refusal, ok := errors.AsType[*routing.RefusalError](err); ok && refusal.MayPassWithoutExclusions() {
		r.exclude = []netip.AddrPort{r.former.Address}
		if left := time.Until(r.latest) - repeatPause; left >= 0 && left <= 2*repeatPause {
			r.exclude = nil // the next ask is one of the last in time
		}
	}
	if slot == nil {
		return false
	}
	x.repeat = slot
	if s.reads.Load() != read {
		x.dropRepeat()
	}
	return x.repeat != nil
}

// ask returns a slot for a repeat that the retry budget has counted; nil if there is none.
func (r *reserver) ask(ctx context.Context) (*routing.Slot, error) {
	x := r.execution
	limits, budget := x.runner.RetryLimits(), x.runner.Budgets.Of(x.request.Service)
	if !x.screening.AllowsMove(time.Now()) || !budget.Allows(limits, time.Now()) {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, repeatPause)
	defer cancel()
	spec := x.boundSpec()
	spec.Exclude = r.exclude
	spec.Begun = false // the attempt goes on if the repeat is refused
	slot, err := x.runner.Router.Acquire(ctx, &spec)
	if err != nil {
		return nil, err
	}
	if endpoint, found := x.runner.Roster.At(x.request.Service, slot.Endpoint()); !found || !x.fits(endpoint) || !budget.Take(limits, time.Now()) {
		slot.Release(routing.OutcomeCancelled, time.Now())
		return nil, nil
	}
	return slot, nil
}

// dropRepeat releases the slot and the permit of the retry budget that are reserved for a repeat.
func (x *execution) dropRepeat() {
	if x.repeat == nil {
		return
	}
	x.repeat.Release(routing.OutcomeCancelled, time.Now())
	x.repeat = nil
	x.runner.Budgets.Of(x.request.Service).Return()
}

// dropReserved releases what is reserved for going on after a silent attempt.
func (x *execution) dropReserved() {
	x.dropRepeat()
	x.dropAsked()
}

// dropAsked releases the slot and frees the copy of a silent run that does not continue from them.
func (x *execution) dropAsked() {
	if x.asked != nil {
		x.asked.drop(x)
		x.asked = nil
	}
}
