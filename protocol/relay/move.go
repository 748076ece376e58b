package relay

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/evacuation"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
)

// mover takes a run to another endpoint when its own one is about to leave.
type mover struct {
	course *course
	from   Place
	ended  chan struct{}
	group  conc.WaitGroup
	cancel context.CancelFunc
	moved  *move
	leave  func()
	near   bool // there is only time for copies within the data centre

	handover evacuation.Handover
}

// move is a run that stopped to go on at another endpoint.
type move struct {
	copied Copy
	slot   *routing.Slot
	at     Place
}

// startMover watches for the notice of the run's endpoint.
func (c *course) startMover(d *Dispatch) *mover {
	ctx, cancel := context.WithCancel(c.ctx)
	m := &mover{course: c, from: d.Place, ended: make(chan struct{}), cancel: cancel}
	if c.request.Engine == nil || !c.request.Engine.Moves || c.request.Route.Resumable {
		return m
	}
	m.leave = c.runner.Turns.Enter(d.Place, c.request.ID, c.memory)
	m.group.Go(func() {
		m.run(ctx)
		if m.from.Leaving() {
			m.leave()
		}
	})
	return m
}

// memory gives the tokens that the run holds at its endpoint; none before it has begun.
func (c *course) memory() int {
	if passed := int(c.passed.Load()); passed > 0 {
		return c.request.Prompt + passed
	}
	return 0
}

// finish ends the mover with its run. Where the run broke off while its last part was copied, that is waited for.
func (m *mover) finish(whole bool) *move {
	close(m.ended)
	if m.leave != nil {
		defer m.leave()
	}
	if whole {
		m.cancel()
	} else {
		timer := time.AfterFunc(moveWait, m.cancel)
		defer timer.Stop()
	}
	m.group.Wait()
	m.cancel()
	if whole && m.moved != nil {
		m.moved.give(m.course)
		return nil
	}
	return m.moved
}

func (m *mover) over() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

func (m *mover) run(ctx context.Context) {
	select {
	case <-m.from.Notice:
	case <-m.ended:
		return
	}
	m.handover.Noticed = time.Now()
	latest := m.handover.Noticed.Add(evacuation.LatestStop)
	plan := m.course.runner.Turns.Turn(m.course.request, m.from, m.handover.Noticed, latest)
	m.near = plan.LocalOnly
	if err := m.await(ctx, plan.Begin); err != nil {
		return
	}
	tried := []netip.AddrPort{m.from.Address}
	for range moveTries {
		slot, at, err := m.seek(ctx, tried)
		if err != nil {
			return
		}
		retry, done := m.take(ctx, slot, at)
		if done {
			return
		}
		slot.Release(routing.OutcomeCancelled, time.Now())
		if !retry {
			tried = append(tried, at.Address)
			continue
		}
		if err := wait.For(ctx, movePause); err != nil {
			return
		}
	}
}

// await waits until all before the run have left or must have left, or for the run's end.
func (m *mover) await(ctx context.Context, latest time.Time) error {
	ticker := time.NewTicker(turnLook)
	defer ticker.Stop()
	for !m.course.runner.Turns.Clear(m.course.request, m.from) && time.Now().Before(latest) {
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

// seek waits for an endpoint that may take the run: one may become known while the run's own is leaving.
func (m *mover) seek(ctx context.Context, tried []netip.AddrPort) (*routing.Slot, Place, error) {
	for !m.over() {
		if slot, at, found := m.target(tried); found {
			return slot, at, nil
		}
		if err := wait.For(ctx, movePause); err != nil {
			return nil, Place{}, err
		}
	}
	return nil, Place{}, errEnded
}

// target finds the endpoint that bears the run best.
func (m *mover) target(tried []netip.AddrPort) (*routing.Slot, Place, bool) {
	ask := m.course.ask
	ask.Exclude = slices.Clone(tried)
	ask.Near, ask.FarCost = m.from.DataCentre, farMove
	if m.near {
		ask.FarCost = lostMove
	}
	ask.Made = int(m.course.passed.Load())
	slot, err := m.course.runner.Router.Place(&ask)
	if err != nil {
		return nil, Place{}, false
	}
	at, found := m.course.runner.Roster.At(m.course.request.Service, slot.Endpoint())
	if !found {
		slot.Release(routing.OutcomeCancelled, time.Now())
		return nil, Place{}, false
	}
	return slot, at, true
}

// take copies the run while it goes on, then stops it and copies the rest. It returns whether to try the same again, and whether
// the run has stopped.
func (m *mover) take(ctx context.Context, slot *routing.Slot, at Place) (retry, done bool) {
	id := m.course.request.ID
	for {
		began := time.Now()
		copied, err := m.copy(ctx, id, at, false)
		if err != nil {
			return errors.Is(err, ErrNoRun), false
		}
		if m.over() {
			m.course.runner.Endpoints.Drop(ctx, copied)
			return false, false
		}
		if m.handover.ShouldStop(began, time.Now()) {
			break
		}
		if err := wait.For(ctx, evacuation.CopyPause); err != nil {
			return false, false
		}
	}
	copied, err := m.copy(ctx, id, at, true)
	if err != nil && copied.Handle == "" {
		return errors.Is(err, ErrNoRun), false
	}
	if err != nil {
		// The run has stopped and its memory has not left: it goes on where it was.
		slot.Release(routing.OutcomeCancelled, time.Now())
		m.moved = &move{copied: copied, at: m.from}
		return false, true
	}
	m.moved = &move{copied: copied, slot: slot, at: at}
	return false, true
}

func (m *mover) copy(ctx context.Context, id string, at Place, last bool) (Copy, error) {
	began := time.Now()
	copied, err := m.course.runner.Endpoints.Move(ctx, id, m.from.Address, at.Address, last)
	m.course.runner.Observer.Moved(m.course.request, m.from.Address, at.Address, copied, last, began, err)
	return copied, err
}

// give frees what a move holds that is not gone on with.
func (m *move) give(c *course) {
	if m == nil {
		return
	}
	if m.slot != nil {
		m.slot.Release(routing.OutcomeCancelled, time.Now())
	}
	c.runner.background.Go(func() { c.drop(m.copied) })
}

func (c *course) drop(copied Copy) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.caller), dropTimeout)
	defer cancel()
	c.runner.Endpoints.Drop(ctx, copied)
}

// moveOn takes over the place that the run goes on at.
func (c *course) moveOn(d *Dispatch, m *move) *Dispatch {
	if m.slot != nil {
		c.release(routing.OutcomeCancelled)
		c.slot = m.slot
	}
	next := *d
	next.Place, next.After, next.Copy = m.at, c.last, &m.copied
	return &next
}
