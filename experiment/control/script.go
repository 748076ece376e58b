package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dogwooddyke/internal/wait"
)

// action is what a step of the script does.
type action string

// The actions.
const (
	actionKill   action = "kill"   // an instance ends without notice; a new one takes its place
	actionDrain  action = "drain"  // an instance ends as planned; a new one takes its place
	actionOutage action = "outage" // the log refuses everything for a while
	actionLose   action = "lose"   // the answer to the next append is lost after the effect
)

// step is one action at its time from the start; draw chooses among the live instances.
type step struct {
	at     time.Duration
	action action
	draw   uint64
}

// newScript makes the steps of a run; the same seed gives the same steps.
func newScript(o *Options) []step {
	random := rand.New(rand.NewPCG(o.Seed, 3))
	span := o.span()
	var steps []step
	for at := headTime; at < span-headTime; at += killPeriod/2 + time.Duration(random.Int64N(int64(killPeriod))) {
		steps = append(steps, step{at, actionKill, random.Uint64()})
	}
	steps = append(steps, step{span / 3, actionDrain, random.Uint64()})
	for range acknowledgements {
		steps = append(steps, step{time.Duration(random.Int64N(int64(span))), actionLose, 0})
	}
	if o.Outage > 0 {
		steps = append(steps, step{span / 2, actionOutage, 0})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	return steps
}

// play carries out the steps; replacements and ends of drains go on beside it.
func (r *run) play(ctx context.Context, started time.Time) {
	for _, s := range newScript(r.options) {
		if wait.For(ctx, time.Until(started.Add(s.at))) != nil {
			return
		}
		if err := r.step(ctx, &s); err != nil {
			r.failed(fmt.Errorf("%s at %s: %w", s.action, s.at, err))
		}
	}
}

func (r *run) step(ctx context.Context, s *step) error {
	switch s.action {
	case actionOutage:
		r.note(s.at, "the log refuses everything for %s", r.options.Outage)
		return r.site.outage(r.options.Outage)
	case actionLose:
		return r.site.loseAnswer()
	case actionKill, actionDrain:
		live := r.fleet.live()
		if len(live) < 2 {
			return errNotInTime
		}
		n := live[s.draw%uint64(len(live))]
		r.note(s.at, "%s %s, new instance after %s", s.action, n.name, replacePeriod)
		r.replace(ctx, n, s.action)
	}
	return nil
}

// replace ends the instance and starts another while the platform has not even noticed.
func (r *run) replace(ctx context.Context, n *node, how action) {
	r.ends.Go(func() {
		if how == actionDrain {
			r.drained(n.drain(ctx))
			return
		}
		n.kill()
		_ = wait.For(ctx, noticePeriod)
		n.Unlist()
	})
	r.ends.Go(func() {
		_ = wait.For(ctx, replacePeriod)
		if err := r.fleet.add(ctx); err != nil {
			r.failed(err)
		}
	})
}
