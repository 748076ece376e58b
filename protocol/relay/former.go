package relay

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
)

// FormerRun is what is known of a run at its endpoint after its stream has broken off. Another endpoint may go on with it only if the former one
// works on it no more, or can't be reached.
type FormerRun string

// The states of a former run; they are values of log lines.
const (
	FormerUnknown     FormerRun = "unknown"     // the endpoint may still work on the run
	FormerStopped     FormerRun = "stopped"     // the endpoint has stopped the run for this instance
	FormerEnded       FormerRun = "ended"       // the endpoint does not know the run, or its process has ended
	FormerUnreachable FormerRun = "unreachable" // no connection to the endpoint is established
)

// formerRunAfter returns the state of a former run after a call that was to stop it. An endpoint that does not know a run has ended it if the run has
// begun there; else the run may still wait in its queue.
func formerRunAfter(copied Copy, err error, begun bool) FormerRun {
	switch {
	case err == nil || copied.Handle != "":
		return FormerStopped
	case errors.Is(err, ErrNoRun) && begun, errors.Is(err, syscall.ECONNREFUSED):
		return FormerEnded
	case errors.Is(err, ErrUnreached):
		return FormerUnreachable
	default:
		return FormerUnknown
	}
}

// askFormer returns what the former endpoint says of the run, which it is to stop; it is asked now unless the silence timer has. Without an endpoint
// where the run could continue it returns nil.
func (x *execution) askFormer(d *Dispatch, cause error) *askedRun {
	if a := x.asked; a != nil {
		x.asked = nil
		return a
	}
	slot, target := x.targetForStop(d, cause)
	if !target.Address.IsValid() {
		return nil
	}
	copied, state, _ := x.stopFormer(x.ctx, d, target, x.hasBegun(d))
	return &askedRun{slot: slot, target: target, copied: copied, state: state}
}

// mayBeAskedAgain reports whether another call, after so many, may tell more of the run.
func (f FormerRun) mayBeAskedAgain(calls int) bool {
	return f == FormerUnknown || f == FormerUnreachable && calls < stopAttempts
}

// endBeforeRepeat has the endpoint of a generation whose answer did not come end its run before the request runs again, as far as it can be asked.
func (x *execution) endBeforeRepeat(d *Dispatch, err error) {
	if x.request.Engine == nil || !x.request.Engine.Moves || isNotRun(err) || !x.mayRetry(err) {
		return
	}
	target, found := x.anyTarget(d)
	if !found {
		return
	}
	if copied, state, _ := x.stopFormer(x.ctx, d, target, x.hasBegun(d)); state == FormerStopped {
		x.runner.background.Go(func() { x.dropCopy(copied) })
	}
}

// targetAfter returns a slot for a run that is to leave its endpoint: at its backup if it has one and that takes it, else at the best endpoint of the
// run's version.
func (x *execution) targetAfter(d *Dispatch) (*routing.Slot, Endpoint, bool) {
	spec := x.specAfter(d)
	return x.placeAt(&spec)
}

// anyTarget returns an endpoint of any version, which takes a copy of the run's memory and not the run.
func (x *execution) anyTarget(d *Dispatch) (Endpoint, bool) {
	spec := x.specAfter(d)
	spec.Version = ""
	slot, target, found := x.placeAt(&spec)
	releaseSlot(slot, routing.OutcomeCancelled)
	return Endpoint{Address: target.Address}, found
}

// placeAt returns a slot for a run, and its endpoint.
func (x *execution) placeAt(spec *routing.RequestSpec) (*routing.Slot, Endpoint, bool) {
	slot, err := x.placeSoon(spec)
	if err != nil {
		return nil, Endpoint{}, false
	}
	return x.lookUp(slot, spec.Version)
}

// stopTarget returns where an endpoint is to copy the memory of a run that it stops: an endpoint with a slot for the run, else one that takes the copy
// only, since the call needs a target even if the run then continues at the endpoint itself.
func (x *execution) stopTarget(d *Dispatch) (*routing.Slot, Endpoint, bool) {
	if slot, target, found := x.targetAfter(d); found {
		return slot, target, true
	}
	target, found := x.anyTarget(d)
	return nil, target, found
}

// targetForStop returns where the endpoint of a run whose stream has broken off is to copy the run's memory when it stops the run: an endpoint with
// a slot, else one that is known to the run, since the call needs a target even if the run then continues at the endpoint itself. If there is
// none it waits for one, but not while the endpoint goes on to send bytes that are wrong.
func (x *execution) targetForStop(d *Dispatch, cause error) (*routing.Slot, Endpoint) {
	latest := time.Now().Add(continuationWait)
	for {
		if slot, target, found := x.targetAfter(d); found {
			return slot, target
		}
		if known := x.knownEndpoint(d); known.IsValid() {
			if target, found := x.runner.Roster.At(x.request.Service, known); found && isVersion(target, d.Endpoint.Version) {
				return nil, target
			}
			return nil, Endpoint{Address: known} // takes the copy, and no run
		}
		if target, found := x.anyTarget(d); found {
			return nil, target
		}
		if x.request.Route.Repeatable() || isCorrupt(cause) || !time.Now().Before(latest) || wait.For(x.ctx, continuationPollInterval) != nil {
			return nil, Endpoint{}
		}
	}
}

// knownEndpoint returns another endpoint that has, or may have, a memory of the run; the zero value if there is none.
func (x *execution) knownEndpoint(d *Dispatch) netip.AddrPort {
	known := append([]netip.AddrPort{d.Backup}, x.backups...)
	if x.paused != nil {
		known = append(known, x.paused.addresses()...)
	}
	at := slices.IndexFunc(known, func(a netip.AddrPort) bool { return a.IsValid() && a != d.Endpoint.Address })
	if at < 0 {
		return netip.AddrPort{}
	}
	return known[at]
}

// stopFormer has the former endpoint stop the run and copy its memory to the target. It asks again while the endpoint does not say what has become
// of the run, on a new connection each time. A run that may be repeated is not waited for long. The run may be known to have begun there.
func (x *execution) stopFormer(ctx context.Context, d *Dispatch, target Endpoint, begun bool) (Copy, FormerRun, stopState) {
	began := time.Now()
	timeout, latest := stopTimeout, began.Add(stopWait)
	if x.request.Route.Repeatable() {
		timeout, latest = repeatableStopTimeout, began
	}
	copied, err := x.askToStop(ctx, d, target, timeout)
	state, stop := formerRunAfter(copied, err, begun), stopNotAsked.after(copied, err)
	pause := stopPause
	for n := 1; state.mayBeAskedAgain(n) && time.Now().Before(latest); n++ {
		if wait.For(ctx, pause) != nil {
			break
		}
		pause = min(2*pause, maximumStopPause)
		copied, err = x.askToStop(ctx, d, target, timeout)
		state, stop = formerRunAfter(copied, err, begun), stop.after(copied, err)
	}
	x.runner.Observer.FormerRunAsked(d, state, began, err)
	if err == nil {
		copied.Target = target.Address
	}
	return copied, state, stop
}

// hasBegun reports whether the run has begun at the endpoint of the latest dispatch if the request has arrived there. An endpoint that has the complete
// copy of a move has kept room for the run; at any other one a request that continues a run may wait.
func (x *execution) hasBegun(d *Dispatch) bool {
	return x.dispatchEvents > 0 || d.Copy != nil && (x.dispatchBegun || d.Origin == OriginCopy)
}

// askToStop makes one call that is to stop the run at its former endpoint.
func (x *execution) askToStop(ctx context.Context, d *Dispatch, target Endpoint, timeout time.Duration) (Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return x.runner.Endpoints.Move(ctx, x.request.ID, d.Endpoint, target.Address, true)
}
