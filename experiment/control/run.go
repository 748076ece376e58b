package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/internal/wait"
)

// run is one experiment in progress.
type run struct {
	options  *Options
	site     *site
	fleet    *fleet
	history  *history
	sessions []*session
	started  time.Time
	ends     conc.WaitGroup // replacements and ends of instances

	mutex  sync.Mutex // guards what follows; taken before nothing else
	events []string
	faults []error
	drains []error
}

// Run carries out a whole run and reports it; an error means that it could not be carried out.
func Run(ctx context.Context, o *Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	s, err := startSite(entryCount*enginesPerEntry, o.Retention)
	if err != nil {
		return nil, err
	}
	r := &run{options: o, site: s, fleet: newFleet(s, o.Logger), history: newHistory(s)}
	report, err := r.run(ctx)
	r.fleet.close()
	return report, errors.Join(err, s.close())
}

func (r *run) run(ctx context.Context) (*Report, error) {
	following, stop := context.WithCancel(ctx)
	var follower conc.WaitGroup
	follower.Go(func() { r.history.follow(following) })
	defer follower.Wait()
	defer stop()
	if err := r.begin(ctx); err != nil {
		return nil, err
	}
	r.publish(ctx)
	r.ends.Wait()
	stop()
	follower.Wait()
	if err := r.history.finish(ctx); err != nil {
		return nil, err
	}
	head := r.history.head()
	settled := r.fleet.await(ctx, r.options.Limit, func(n *node) bool {
		view := n.Instance.View()
		return view.Offset >= head
	})
	live := r.fleet.live()
	for _, n := range live {
		n.end()
	}
	return r.report(live, settled), ctx.Err()
}

// begin publishes each subject once and starts the instances.
func (r *run) begin(ctx context.Context) error {
	first := newSession(r.site)
	for n := range subjectCount {
		first.do(ctx, &job{wish: wishFresh, subject: n, seed: uint64(n)})
	}
	r.sessions = append(r.sessions, first)
	for range r.options.Instances {
		if err := r.fleet.add(ctx); err != nil {
			return err
		}
	}
	return r.fleet.await(ctx, readyTimeout, func(n *node) bool { return n.Instance.Ready() })
}

// publish lets all sessions work while the script goes on.
func (r *run) publish(ctx context.Context) {
	r.started = time.Now()
	var group conc.WaitGroup
	for _, jobs := range plan(r.options) {
		s := newSession(r.site)
		r.sessions = append(r.sessions, s)
		group.Go(func() { s.run(ctx, r.started, jobs) })
	}
	group.Go(func() { r.play(ctx, r.started) })
	group.Go(func() { r.tell(ctx) })
	group.Wait()
}

// tell writes how far the run is.
func (r *run) tell(ctx context.Context) {
	for time.Since(r.started) < r.options.span() {
		if wait.For(ctx, progressPeriod) != nil {
			return
		}
		if r.options.Progress != nil {
			fmt.Fprintf(r.options.Progress, "%3.0f s, %d records, %d instances\n", time.Since(r.started).Seconds(), r.history.head(), len(r.fleet.live()))
		}
	}
}

func (r *run) note(at time.Duration, format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events = append(r.events, fmt.Sprintf("%5.1f s  ", at.Seconds())+fmt.Sprintf(format, values...))
}

func (r *run) failed(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = append(r.faults, err)
}

func (r *run) drained(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.drains = append(r.drains, err)
}
