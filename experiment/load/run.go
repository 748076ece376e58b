package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/sourcegraph/conc"
)

// Options say what a run sends, where and for how long.
type Options struct {
	Targets     []string // base URLs of instances
	Profile     *Profile
	Rate        float64 // requests/s
	Seconds     float64
	Seed        uint64
	Candidates  Candidates
	MaximumOpen int       // requests in progress at once; arrivals over it are counted and not sent
	Progress    io.Writer // nil: no progress
}

// Check returns every fault of the options.
func (o *Options) Check() error {
	var faults []error
	if len(o.Targets) == 0 {
		faults = append(faults, errors.New("target: missing"))
	}
	for _, t := range o.Targets {
		if u, err := url.Parse(t); err != nil || u.Scheme == "" || u.Host == "" {
			faults = append(faults, fmt.Errorf("target: %q is not a URL such as http://127.0.0.1:8080", t))
		}
	}
	if !(o.Rate > 0 && o.Rate <= maximumRate) {
		faults = append(faults, fmt.Errorf("rate: not above 0 and at most %d", maximumRate))
	}
	if !(o.Seconds > 0 && o.Seconds <= maximumSeconds) {
		faults = append(faults, fmt.Errorf("seconds: not above 0 and at most %d", maximumSeconds))
	}
	if o.Rate*o.Seconds > maximumRequests {
		faults = append(faults, fmt.Errorf("rate and seconds: more than %d requests", maximumRequests))
	}
	if o.MaximumOpen < 1 || o.MaximumOpen > maximumOpen {
		faults = append(faults, fmt.Errorf("open: not between 1 and %d", maximumOpen))
	}
	return errors.Join(faults...)
}

// Run sends the traffic and returns what came of it, with a record of each request; it ends early when the context does.
func Run(ctx context.Context, o *Options) (*Report, []Record, error) {
	if err := o.Check(); err != nil {
		return nil, nil, err
	}
	r := newRecorder(o.Profile)
	c := newClient(o, r)
	defer c.close()
	started := time.Now()
	stopProgress := showProgress(o, r, started)
	stopBalancer := c.startBalancer(ctx)
	drive(ctx, o, c, r, started)
	stopBalancer()
	stopProgress()
	return newReport(o, r, started), r.records, nil
}

// drive sends each request when it is due, whatever became of those before it.
func drive(ctx context.Context, o *Options, c *client, r *recorder, started time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var open conc.WaitGroup
	plan := NewPlan(o.Profile, o.Rate, len(o.Targets), o.Seed)
	span := time.Duration(o.Seconds * float64(time.Second))
	for range maximumRequests {
		request := plan.Next()
		if request.Due >= span || !sleepUntil(ctx, started.Add(request.Due)) {
			break
		}
		if int(r.open.Load()) >= o.MaximumOpen {
			r.skipped.Add(1)
			continue
		}
		r.started(request.Mix)
		open.Go(func() { c.carry(ctx, request, started.Add(request.Due)) })
	}
	drain := time.AfterFunc(drainTimeout, cancel)
	open.Wait()
	drain.Stop()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// startBalancer asks the instances for their readiness until the returned function is called.
func (c *client) startBalancer(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var asked conc.WaitGroup
	asked.Go(func() { c.balancer.run(ctx) })
	return func() {
		cancel()
		asked.Wait()
	}
}

// carry sends one request, and its repeat to another instance where the plan has one.
func (c *client) carry(ctx context.Context, r *Request, due time.Time) {
	defer c.recorder.ended.Add(1)
	defer c.recorder.open.Add(-1)
	var repeat conc.WaitGroup
	defer repeat.Wait()
	r.Target = c.balancer.pick(r.Target)
	if r.Repeats {
		repeat.Go(func() { c.repeat(ctx, r) })
	}
	c.recorder.finished(c.mark(ctx, c.do(ctx, r, due)))
}

// repeat sends a call to another instance, before or after the first has answered.
func (c *client) repeat(ctx context.Context, r *Request) {
	due := time.Now().Add(time.Duration(r.Seed) * repeatDelay / (1 << 31))
	if !sleepUntil(ctx, due) {
		return
	}
	result := c.mark(ctx, c.call(ctx, r, c.balancer.pick(r.Other), due))
	result.Repeat = true
	c.recorder.finished(result)
}

// mark tells what the end of the run cut off from what failed.
func (c *client) mark(ctx context.Context, result *Result) *Result {
	if ctx.Err() != nil && result.Outcome != OutcomeFinished {
		result.Outcome = OutcomeUnfinished
		result.Reason = "run ended"
	}
	return result
}
