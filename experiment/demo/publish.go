package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"dogwooddyke/experiment/load"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/transport/platform"
)

// publisher appends catalogue changes, each based on the subject's last one.
type publisher struct {
	log       *platform.Log
	seen      uint64
	revisions map[catalogue.Subject]uint64
}

func newPublisher(s *site) *publisher {
	return &publisher{
		log:       platform.NewLog("http://"+s.logAt.String(), platform.NewClient()),
		revisions: make(map[catalogue.Subject]uint64),
	}
}

// publish appends one change and returns its revision.
func (p *publisher) publish(ctx context.Context, c catalogue.Change) (uint64, error) {
	subject, _ := c.Subject()
	c.Operator = operatorName
	c.ID = operatorName + "-" + strconv.FormatUint(p.seen, 10)
	c.Base = p.revisions[subject]
	c.Seen = p.seen
	data, err := catalogue.Encode(catalogue.Record{Change: &c})
	if err != nil {
		return 0, err
	}
	offset, err := p.log.Append(ctx, catalogue.Stream, data)
	if err != nil {
		return 0, err
	}
	p.seen = offset
	p.revisions[subject] = offset
	return offset, nil
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
	hash := sha256.Sum256([]byte(w.Key))
	return &catalogue.Workspace{Name: w.Name, Owner: owner, KeyHashes: []string{hex.EncodeToString(hash[:])}}
}
