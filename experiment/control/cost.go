package control

import (
	"context"
	crypto "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/internal/wait"
	"dogwooddyke/state/catalogue"
)

// Case is one size and what control cost there, window by window.
type Case struct {
	Instances int     `json:"instances"`
	Entries   int     `json:"entries"`
	Endpoints int     `json:"endpoints"` // that each instance works with
	Windows   []*Cost `json:"windows"`
}

// Measure measures the cost of control at each size.
func Measure(ctx context.Context, o *CostOptions) (*CostReport, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	report := &CostReport{Rate: o.Rate, Changes: o.Changes, Window: o.Window, Seed: o.Seed, Started: time.Now().UTC()}
	s := newRemoteSite(o.Site)
	base := memory()
	for i, count := range o.Instances {
		c, err := measure(ctx, o, s, count, o.Entries[0], base)
		if err != nil {
			return nil, fmt.Errorf("%d instances: %w", count, err)
		}
		report.ByInstances = append(report.ByInstances, c)
		if i == 0 {
			report.ByEndpoints = append(report.ByEndpoints, c)
		}
	}
	for _, entries := range o.Entries[1:] {
		c, err := measure(ctx, o, s, o.Instances[0], entries, base)
		if err != nil {
			return nil, fmt.Errorf("%d entries: %w", entries, err)
		}
		report.ByEndpoints = append(report.ByEndpoints, c)
	}
	return report, nil
}

// measure starts a fleet, lets it settle and measures windows one after the other.
func measure(ctx context.Context, o *CostOptions, s *site, instances, entries int, base float64) (*Case, error) {
	operator := newSession(s)
	if err := operator.prepare(ctx, entries); err != nil {
		return nil, err
	}
	f := newFleet(s, o.Logger)
	defer f.dissolve(ctx)
	for range instances {
		if err := f.add(ctx); err != nil {
			return nil, err
		}
		_ = wait.For(ctx, startPause)
	}
	if err := f.await(ctx, readyTimeout, func(n *node) bool {
		return n.Instance.Ready() && n.Instance.View().Offset >= operator.table.Offset()
	}); err != nil {
		return nil, err
	}
	for _, n := range f.all() {
		n.endWatch()
	}
	working, stop := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer stop()
	if o.Rate > 0 {
		group.Go(func() { f.call(working, o, entries) })
	}
	if o.Changes > 0 {
		group.Go(func() { operator.keepChanging(working, o, entries) })
	}
	_ = wait.For(ctx, o.Settle)
	c := &Case{Instances: instances, Entries: entries, Endpoints: entries * endpointsPerEntry}
	return c, f.windows(ctx, o, c, base)
}

func (f *fleet) windows(ctx context.Context, o *CostOptions, c *Case, base float64) error {
	for range windowCount {
		before, err := f.read()
		if err != nil {
			return err
		}
		if wait.For(ctx, o.Window) != nil {
			return ctx.Err()
		}
		after, err := f.read()
		if err != nil {
			return err
		}
		cost := after.since(before, c.Instances)
		cost.Memory = (memory() - base) / float64(c.Instances)
		c.Windows = append(c.Windows, cost)
	}
	if o.Progress != nil {
		last := c.Windows[windowCount-1]
		fmt.Fprintf(o.Progress, "%d instances, %d endpoints: %.0f B/s, %.2f%% of a core, %.1f MB each\n",
			c.Instances, c.Endpoints, last.Sum, 100*last.Processor, last.Memory/1e6)
	}
	return nil
}

// dissolve ends all instances and takes them off the list.
func (f *fleet) dissolve(ctx context.Context) {
	f.close()
	for _, n := range f.all() {
		n.Unlist()
	}
	_ = wait.For(ctx, rosterLag+time.Second)
}

// prepare publishes the entries and workspaces and removes others.
func (s *session) prepare(ctx context.Context, entries int) error {
	s.read(ctx)
	wanted := make(map[string]bool)
	for n := range entries {
		wanted[entryName(n)] = true
		if err := s.publish(ctx, entryChange(n, s.engines[n*endpointsPerEntry:(n+1)*endpointsPerEntry], 0)); err != nil {
			return err
		}
	}
	for n := range workspaceCount {
		if err := s.publish(ctx, workspaceChange(workspaceName(n), 1000)); err != nil {
			return err
		}
	}
	for _, e := range s.table.View().Entries() {
		if wanted[e.Name] {
			continue
		}
		removal := catalogue.Change{Removal: &catalogue.Subject{Kind: catalogue.SubjectEntry, Name: e.Name}}
		if err := s.publish(ctx, removal); err != nil {
			return err
		}
	}
	return nil
}

// publish publishes one change, based on the present revision.
func (s *session) publish(ctx context.Context, c catalogue.Change) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	s.read(ctx)
	subject, _ := c.Subject()
	c.Operator, c.Base, c.Seen = owner, s.table.View().RevisionOf(subject), s.table.Offset()
	c.ID = crypto.Text() // the same content may be published again after a removal
	data, err := catalogue.Encode(catalogue.Record{Change: &c})
	if err != nil {
		return err
	}
	if !s.append(ctx, data, &sent{}) {
		return errNotPublished
	}
	s.read(ctx)
	return nil
}

// keepChanging changes entries in turn until the context ends.
func (s *session) keepChanging(ctx context.Context, o *CostOptions, entries int) {
	random := rand.New(rand.NewPCG(o.Seed, 4))
	for n := 0; wait.For(ctx, time.Duration(float64(time.Second)/o.Changes)) == nil; n++ {
		number := n % entries
		_ = s.publish(ctx, entryChange(number, s.engines[number*endpointsPerEntry:(number+1)*endpointsPerEntry], 1+random.IntN(10_000)))
	}
}

// errNotPublished reports a change that the log did not confirm.
var errNotPublished = errors.New("change not published")
