package relay

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/handover"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
)

// mover moves a run to another endpoint when its endpoint is leaving.
type mover struct {
	execution  *execution
	from       Endpoint      // endpoint at which the run is
	ended      chan struct{} // closed when the run has ended
	group      conc.WaitGroup
	cancel     context.CancelFunc
	endRead    func()    // ends the reading of the run's stream
	moved      *move     // set when the run was stopped to be moved
	part       *move     // latest copy that was made while the run went on; without a slot
	stopState  stopState // what is known of the stop of the run at its endpoint
	unregister func()    // removes the run from the MoveScheduler; nil if the mover is idle
	localOnly  bool      // the time left allows only copies within the data centre

	stop handover.StopRule // says when the run stops at its endpoint
}

// move is a run that was stopped in order to continue from a copy of its memory.
type move struct {
	copy     Copy
	slot     *routing.Slot // slot at the new endpoint; nil if only the former one has the memory
	endpoint Endpoint      // endpoint that has the copy
}

// startMover starts a mover that waits for the notice of the run's endpoint. A run that can't or needn't be moved gets an idle one.
func (x *execution) startMover(d *Dispatch, endRead func()) *mover {
	ctx, cancel := context.WithCancel(x.ctx)
	m := &mover{execution: x, from: d.Endpoint, ended: make(chan struct{}), cancel: cancel, endRead: endRead}
	if x.request.Engine == nil || !x.request.Engine.Moves || x.request.Route.Resumable {
		return m
	}
	m.unregister = x.runner.MoveScheduler.Register(d.Endpoint, x.request.ID, x.heldTokens)
	m.group.Go(func() {
		m.run(ctx)
		if m.from.Leaving() {
			m.unregister()
		}
	})
	return m
}

// heldTokens returns the tokens that the run holds at its endpoint; 0 before it has produced output.
func (x *execution) heldTokens() int {
	if passed := int(x.passedTokens.Load()); passed > 0 {
		return x.request.PromptTokens + passed
	}
	return 0
}

// finish stops the mover when its run's stream has ended. If the stream is not known to be complete, finish waits for a final copy in progress.
// It returns the move from which the run continues, nil if there is none, and what is known of the stop of the run.
func (m *mover) finish(complete bool) (*move, stopState) {
	close(m.ended)
	if m.unregister != nil {
		defer m.unregister()
	}
	if complete {
		m.cancel()
	} else {
		timer := time.AfterFunc(finalCopyTimeout, m.cancel)
		defer timer.Stop()
	}
	m.group.Wait()
	m.cancel()
	if complete && m.moved != nil {
		m.moved.discard(m.execution)
		return nil, m.stopState
	}
	return m.moved, m.stopState
}

// runEnded reports whether the run has ended.
func (m *mover) runEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// run waits for the notice of the run's endpoint and for the run's turn, then tries to move the run.
func (m *mover) run(ctx context.Context) {
	select {
	case <-m.from.Notice.Done():
	case <-m.ended:
		return
	}
	m.stop.Noticed = m.from.Notice.At()
	if err := wait.For(ctx, m.execution.runner.MoveScheduler.SettleTime()); err != nil {
		return
	}
	latest := m.stop.Noticed.Add(handover.LatestStop)
	plan := m.execution.runner.MoveScheduler.Plan(m.execution.request, m.from, m.stop.Noticed, latest)
	m.localOnly = plan.LocalOnly
	if err := m.awaitTurn(ctx, plan.Begin); err != nil {
		return
	}
	if !m.execution.screening.AllowsMove(time.Now()) {
		return
	}
	tried := []netip.AddrPort{m.from.Address}
	for range moveAttempts {
		slot, target, err := m.awaitTarget(ctx, tried)
		if err != nil {
			return
		}
		retry, done := m.moveTo(ctx, slot, target)
		if done {
			return
		}
		slot.Release(routing.OutcomeCancelled, time.Now())
		if !retry {
			tried = append(tried, target.Address)
			continue
		}
		if err := wait.For(ctx, movePollInterval); err != nil {
			return
		}
	}
}

// awaitTurn waits until all runs ahead of this one have been moved, until the given time or for the run's end.
func (m *mover) awaitTurn(ctx context.Context, latest time.Time) error {
	ticker := time.NewTicker(turnPollInterval)
	defer ticker.Stop()
	for !m.execution.runner.MoveScheduler.Ready(m.execution.request, m.from) && time.Now().Before(latest) {
		select {
		case <-ticker.C:
		case <-m.ended:
			return errEnded
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// awaitTarget waits for an endpoint that can take the run: one may be added to the roster while the run's endpoint is leaving. Endpoints that have
// refused the run are tried again after a pause, and so are the others once several have refused it.
func (m *mover) awaitTarget(ctx context.Context, tried []netip.AddrPort) (*routing.Slot, Endpoint, error) {
	refusers := m.execution.refusers
	for !m.runEnded() {
		mayRepeat := !time.Now().Before(m.execution.moveAfter)
		if mayRepeat || len(refusers) < maximumMemoryRefusals {
			if slot, target, found := m.findTarget(slices.Concat(tried, refusers)); found {
				return slot, target, nil
			}
		}
		if mayRepeat && len(refusers) > 0 {
			if slot, target, found := m.findTarget(tried); found {
				return slot, target, nil
			}
		}
		if err := wait.For(ctx, movePollInterval); err != nil {
			return nil, Endpoint{}, err
		}
	}
	return nil, Endpoint{}, errEnded
}

// findTarget returns a slot at the best endpoint for the run, if there is one.
func (m *mover) findTarget(tried []netip.AddrPort) (*routing.Slot, Endpoint, bool) {
	spec := m.execution.spec
	spec.Exclude = slices.Clone(tried)
	spec.Version = m.from.Version
	spec.PreferredDataCentre, spec.RemoteCost = m.from.DataCentre, remoteCopyCost
	if m.localOnly {
		spec.RemoteCost = infeasibleCopyCost
	}
	spec.GeneratedTokens = int(m.execution.passedTokens.Load())
	slot, err := m.execution.runner.Router.Place(&spec)
	if err != nil {
		return nil, Endpoint{}, false
	}
	target, found := m.execution.runner.Roster.At(m.execution.request.Service, slot.Endpoint())
	if !found || !isVersion(target, m.from.Version) {
		slot.Release(routing.OutcomeCancelled, time.Now())
		return nil, Endpoint{}, false
	}
	return slot, target, true
}

// moveTo copies the run's memory while the run continues, then stops it and copies the rest. It reports whether to try the same
// endpoint again, and whether the move is done, that is, whether the run was stopped.
func (m *mover) moveTo(ctx context.Context, slot *routing.Slot, target Endpoint) (retry, done bool) {
	id := m.execution.request.ID
	for {
		began := time.Now()
		copied, err := m.copyMemory(ctx, id, target, false)
		if err != nil {
			return errors.Is(err, ErrNoRun), false
		}
		if m.runEnded() {
			m.execution.runner.Endpoints.Drop(ctx, copied)
			return false, false
		}
		m.part = &move{copy: copied, endpoint: target}
		if m.stop.ShouldStop(began, time.Now()) {
			break
		}
		if err := wait.For(ctx, handover.CopyPause); err != nil {
			return false, false
		}
	}
	copied, err := m.copyMemory(ctx, id, target, true)
	m.stopState = m.stopState.after(copied, err)
	if err != nil && copied.Handle == "" {
		return errors.Is(err, ErrNoRun), false
	}
	if err != nil {
		// The run was stopped but its memory was not transferred.
		slot.Release(routing.OutcomeCancelled, time.Now())
		m.moved = &move{copy: copied}
		m.endStream()
		return false, true
	}
	m.moved = &move{copy: copied, slot: slot, endpoint: target}
	m.endStream()
	return false, true
}

// endStream ends the reading of a stream whose run was stopped, unless it ends by itself: the connection may have gone silent.
func (m *mover) endStream() {
	timer := time.NewTimer(silenceConfirmation)
	defer timer.Stop()
	select {
	case <-m.ended:
	case <-timer.C:
		m.endRead()
	}
}

// mayReceive reports whether a request that continues the run may be sent to an endpoint that has its memory.
func (x *execution) mayReceive(endpoint Endpoint, now time.Time) bool {
	drain := x.runner.Drain
	if drain > 0 && endpoint.Leaving() && !now.Before(endpoint.Notice.At().Add(drain-returnMargin)) {
		return false
	}
	current, found := x.runner.Roster.At(x.request.Service, endpoint.Address)
	return !found || !current.Evacuated
}

// copyMemory copies the run's memory once, and stops the run first if last is set.
func (m *mover) copyMemory(ctx context.Context, id string, target Endpoint, last bool) (Copy, error) {
	began := time.Now()
	copied, err := m.execution.runner.Endpoints.Move(ctx, id, m.from, target.Address, last)
	m.execution.runner.Observer.Moved(m.execution.request, m.from.Address, target.Address, copied, last, began, err)
	return copied, err
}

// discard releases the slot and the copy of a move that is not used.
func (m *move) discard(x *execution) {
	if m == nil {
		return
	}
	if m.slot != nil {
		m.slot.Release(routing.OutcomeCancelled, time.Now())
	}
	x.runner.background.Go(func() { x.dropCopy(m.copy) })
}

// dropCopy frees a copy, even if the caller has disconnected.
func (x *execution) dropCopy(copied Copy) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.caller), dropTimeout)
	defer cancel()
	x.runner.Endpoints.Drop(ctx, copied)
}
