package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dogwooddyke/experiment/load"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/transport/platform"
)

// errRefused reports a change that the fold did not accept.
var errRefused = errors.New("change refused")

// publisher appends catalogue changes and folds the log to see what became of them.
type publisher struct {
	log   *platform.Log
	table *catalogue.Table
}

func newPublisher(s *site) *publisher {
	return &publisher{
		log:   platform.NewLog("http://"+s.logAt.String(), platform.NewClient()),
		table: catalogue.NewTable(catalogue.Rules{}),
	}
}

// publish appends a change in the name of the subject's owner, based on the current revision, and returns its own.
func (p *publisher) publish(ctx context.Context, owner string, c catalogue.Change) (uint64, error) {
	subject, _ := c.Subject()
	c.Operator, c.Base, c.Seen = owner, p.table.View().RevisionOf(subject), p.table.Offset()
	id, err := c.DeriveID()
	if err != nil {
		return 0, err
	}
	c.ID = id
	data, err := catalogue.Encode(catalogue.Record{Change: &c})
	if err != nil {
		return 0, err
	}
	offset, err := p.log.Append(ctx, catalogue.Stream, data)
	if err != nil {
		return 0, err
	}
	return offset, p.accepted(ctx, offset)
}

// accepted folds through the offset and returns an error unless the change there was accepted.
func (p *publisher) accepted(ctx context.Context, offset uint64) error {
	page, err := p.log.Read(ctx, catalogue.Stream, p.table.Offset()+1, time.Time{})
	if err != nil {
		return err
	}
	verdicts, err := p.table.ApplyAll(page.Records)
	if err != nil {
		return err
	}
	for _, v := range verdicts {
		if v.Offset == offset && v.Refused() {
			return fmt.Errorf("%w: %s %s: %s", errRefused, v.Subject.Name, v.Outcome, v.Reason)
		}
	}
	return nil
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
