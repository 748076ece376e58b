package demo

import (
	"context"
	"errors"
	"time"

	"dogwooddyke/experiment/load"
	"dogwooddyke/experiment/member"
	"dogwooddyke/internal/wait"
	"dogwooddyke/transport/operator"
)

// fleet is instances, the platform and the endpoints, all in this process.
type fleet struct {
	site      *site
	endpoints *endpoints
	publisher *publisher
	nodes     []*node
	profiles  []*load.Profile
}

// startFleet starts everything and returns when all instances are ready.
func startFleet(ctx context.Context, o *Options) (*fleet, error) {
	f := &fleet{}
	if err := f.start(ctx, o); err != nil {
		return nil, errors.Join(err, f.close())
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, o *Options) error {
	var err error
	f.profiles = append(f.profiles, o.profiles...)
	for _, name := range o.Profiles {
		p, err := load.OpenProfile(name)
		if err != nil {
			return err
		}
		f.profiles = append(f.profiles, p)
	}
	if f.site, err = startSite(); err != nil {
		return err
	}
	if f.endpoints, err = startEndpoints(&o.Layout); err != nil {
		return err
	}
	f.publisher = newPublisher(f.site)
	if err := f.publishAll(ctx); err != nil {
		return err
	}
	keys := member.NewKeys()
	for range o.Layout.Instances {
		n, err := startNode(ctx, f.site, o.Layout.Grace, keys, o.Logger)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	return f.awaitReady(ctx)
}

// publishAll publishes the entries of the layout and the workspaces of the profiles.
func (f *fleet) publishAll(ctx context.Context) error {
	for _, g := range f.endpoints.groups {
		if _, err := f.publisher.entry(ctx, g.entry()); err != nil {
			return err
		}
	}
	for _, p := range f.profiles {
		for i := range p.Workspaces {
			w := workspaceOf(&p.Workspaces[i], p.Name)
			if _, err := f.publisher.workspace(ctx, w); err != nil {
				return err
			}
		}
	}
	return nil
}

// awaitReady returns when every instance is ready, has the whole catalogue and knows the others.
func (f *fleet) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	return f.await(ctx, deadline, func(s *operator.Status) bool {
		return s.State == "ready" && s.CatalogueOffset >= f.publisher.offset() && len(s.Members) >= len(f.nodes)
	})
}

// await returns when the condition has held once at every running instance.
func (f *fleet) await(ctx context.Context, deadline time.Time, holds func(*operator.Status) bool) error {
	for _, n := range f.running() {
		for {
			if s, err := n.status(ctx); err == nil && holds(s) {
				break
			}
			if wait.For(ctx, pollInterval) != nil || time.Now().After(deadline) {
				return errNotReady
			}
		}
	}
	return nil
}

// running returns the instances that have not been stopped.
func (f *fleet) running() []*node {
	var nodes []*node
	for _, n := range f.nodes {
		if !n.stopped.Load() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// addresses says where everything listens.
func (f *fleet) addresses() *load.Addresses {
	a := &load.Addresses{
		Endpoints:   make(load.Endpoints),
		Log:         "http://" + f.site.logAt.String(),
		Roster:      "http://" + f.site.rosterAt.String(),
		WeightStore: "http://" + f.site.weightsAt.String(),
		Keys:        make(load.Keys),
	}
	for _, n := range f.running() {
		a.Instances = append(a.Instances, n.callers())
		a.Operators = append(a.Operators, n.operators())
	}
	for _, g := range f.endpoints.groups {
		for _, at := range g.addresses {
			a.Endpoints[g.service.Entry.Name] = append(a.Endpoints[g.service.Entry.Name], "http://"+at.String())
		}
	}
	for _, p := range f.profiles {
		for _, w := range p.Workspaces {
			a.Keys[w.Name] = w.Key
		}
	}
	return a
}

func (f *fleet) close() error {
	for _, n := range f.running() {
		n.kill()
	}
	var faults []error
	if f.endpoints != nil {
		faults = append(faults, f.endpoints.close())
	}
	if f.site != nil {
		faults = append(faults, f.site.close())
	}
	return errors.Join(faults...)
}
