package demo

import (
	"context"

	"dogwooddyke/coordination/publication"
	"dogwooddyke/experiment/load"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/transport/platform"
)

// publisher publishes in the name of each subject's owner, as operators would.
type publisher struct {
	publisher *publication.Publisher
}

func newPublisher(s *site) *publisher {
	log := platform.NewLog("http://"+s.logAt.String(), platform.NewClient())
	return &publisher{publisher: publication.New(log, catalogue.Rules{})}
}

// offset returns how far the catalogue has been read.
func (p *publisher) offset() uint64 {
	return p.publisher.Table().Offset()
}

// entry publishes an entry and returns its revision.
func (p *publisher) entry(ctx context.Context, e *catalogue.Entry) (uint64, error) {
	return p.publish(ctx, &publication.DesiredState{
		Subject: catalogue.Subject{Kind: catalogue.SubjectEntry, Name: e.Name}, Entry: e, Operator: e.Owner,
	})
}

// workspace publishes a workspace and returns its revision.
func (p *publisher) workspace(ctx context.Context, w *catalogue.Workspace) (uint64, error) {
	return p.publish(ctx, &publication.DesiredState{
		Subject: catalogue.Subject{Kind: catalogue.SubjectWorkspace, Name: w.Name}, Workspace: w, Operator: w.Owner,
	})
}

func (p *publisher) publish(ctx context.Context, w *publication.DesiredState) (uint64, error) {
	accepted, err := p.publisher.Publish(ctx, w)
	return accepted.Offset, err
}

// entry returns the catalogue entry of a group.
func (g *group) entry() *catalogue.Entry {
	e := g.service.Entry
	for _, a := range g.addresses {
		e.Endpoints = append(e.Endpoints, catalogue.Endpoint{Address: a, DataCentre: dataCentre})
	}
	return &e
}

// workspaceOf returns the catalogue's side of a profile's workspace.
func workspaceOf(w *load.Workspace, owner string) *catalogue.Workspace {
	return &catalogue.Workspace{Name: w.Name, Owner: owner, KeyHashes: []string{catalogue.HashKey(w.Key)}}
}
