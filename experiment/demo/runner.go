package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/experiment/load"
	"dogwooddyke/experiment/member"
	"dogwooddyke/experiment/naive"
	"dogwooddyke/internal/wait"
	"dogwooddyke/state/catalogue"
)

// runner carries out one run.
type runner struct {
	options    *Options
	fleet      *fleet
	baseline   *baseline // nil: none
	background conc.WaitGroup
	killed     bool // an instance was ended without notice

	mutex    sync.Mutex // guards all below
	drains   []error
	forced   []time.Duration // from publishing to in force everywhere
	events   []string
	faults   []error // of steps of the script
	failures []error // of load tools
}

// baseline is a naive proxy before endpoints of its own.
type baseline struct {
	endpoints *endpoints
	proxy     *naive.Proxy
	server    *http.Server
	url       string
	served    conc.WaitGroup
}

// Traffic is what one load tool saw.
type Traffic struct {
	Name    string        `json:"name"`
	Report  *load.Report  `json:"report"`
	Records []load.Record `json:"-"`
}

// startBaseline gives the proxy engines whose texts can be checked without the generation's id, which it does not tell.
func startBaseline(l *Layout) (*baseline, error) {
	checked := Layout{Services: slices.Clone(l.Services)}
	for i := range checked.Services {
		s := &checked.Services[i]
		s.Entry.Repeatable = s.Entry.Kind == catalogue.KindEngine
	}
	b, err := startEndpoints(&checked)
	if err != nil {
		return nil, err
	}
	var entries []naive.Entry
	for _, g := range b.groups {
		entries = append(entries, naive.Entry{Name: g.service.Entry.Name, Endpoints: g.addresses})
	}
	listener, err := net.Listen("tcp", member.Loopback().String())
	if err != nil {
		return nil, errors.Join(err, b.close())
	}
	p := naive.New(entries)
	s := &baseline{endpoints: b, proxy: p, server: &http.Server{Handler: p, ReadHeaderTimeout: readyTimeout}}
	s.url = "http://" + listener.Addr().String()
	s.served.Go(func() { _ = s.server.Serve(listener) })
	return s, nil
}

func (b *baseline) close() error {
	_ = b.server.Close()
	b.served.Wait()
	b.proxy.Close()
	return b.endpoints.close()
}

func (r *runner) allEndpoints() []*endpoints {
	all := []*endpoints{r.fleet.endpoints}
	if r.baseline != nil {
		all = append(all, r.baseline.endpoints)
	}
	return all
}

// traffic sends all profiles to the fleet, and to the baseline, while the script runs.
func (r *runner) traffic(ctx context.Context) (fleet, naive []Traffic, err error) {
	o := r.options
	scripted, stop := context.WithCancel(ctx)
	defer stop()
	var script conc.WaitGroup
	script.Go(func() { r.script(scripted) })
	targets := r.fleet.addresses().Instances
	fleet = make([]Traffic, len(o.Profiles))
	var runs conc.WaitGroup
	for i, name := range o.Profiles {
		runs.Go(func() { fleet[i] = r.send(ctx, name, targets, o.Seed+uint64(i), i == 0) })
	}
	if r.baseline != nil {
		naive = make([]Traffic, len(o.Profiles))
		for i, name := range o.Profiles {
			runs.Go(func() {
				naive[i] = r.send(ctx, name, slices.Repeat([]string{r.baseline.url}, len(targets)), o.Seed+uint64(i), false)
			})
		}
	}
	runs.Wait()
	stop()
	script.Wait()
	r.background.Wait()
	return fleet, naive, r.broken()
}

// broken returns the error of a load tool that could not run, as its traffic has no report then.
func (r *runner) broken() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return errors.Join(r.failures...)
}

// send sends one profile; only one of those that run at once may show its progress.
func (r *runner) send(ctx context.Context, profile string, targets []string, seed uint64, shown bool) Traffic {
	t := Traffic{Name: profile}
	p, err := load.OpenProfile(profile)
	if err != nil {
		r.lost(err)
		return t
	}
	options := &load.Options{
		Targets: targets, Profile: p, Rate: r.options.Rate, Seconds: r.options.Seconds, Seed: seed,
		Candidates: load.StandinCandidates, MaximumOpen: maximumOpen,
	}
	if shown {
		options.Progress = r.options.Progress
	}
	t.Report, t.Records, err = load.Run(ctx, options)
	if err != nil {
		r.lost(err)
	}
	return t
}

// script carries out the steps at their times; those after the end of the traffic do not happen.
func (r *runner) script(ctx context.Context) {
	started := time.Now()
	for _, s := range r.options.Script {
		if wait.For(ctx, time.Until(started.Add(s.At))) != nil {
			return
		}
		r.note(fmt.Sprintf("%5.1fs  %s", s.At.Seconds(), s.Name))
		if err := s.Do(context.WithoutCancel(ctx), r); err != nil {
			r.failed(fmt.Errorf("%s: %w", s.Name, err))
		}
	}
}

func (r *runner) note(event string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.events = append(r.events, event)
}

func (r *runner) failed(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = append(r.faults, err)
}

func (r *runner) lost(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures = append(r.failures, err)
}

func (r *runner) drained(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.drains = append(r.drains, err)
}

func (r *runner) changed(after time.Duration, err error) {
	if err != nil {
		r.failed(fmt.Errorf("catalogue change not in force everywhere after %s: %w", after, err))
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.forced = append(r.forced, after)
}
