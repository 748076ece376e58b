package control

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"dogwooddyke/coordination/publication"
	"dogwooddyke/standin"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/transport/platform"
)

// errNotReady reports nodes that did not come up.
var errNotReady = errors.New("not all instances became ready")

// fleet is a number of nodes over the platform's stand-ins.
type fleet struct {
	log       *standin.Log
	roster    *standin.Roster
	logURL    string
	listURL   string
	nodes     []*node
	publisher *publication.Publisher
}

// startFleet starts the stand-ins, publishes the entries and starts the nodes.
func startFleet(ctx context.Context, size int, config standin.RosterConfig) (*fleet, error) {
	f := &fleet{log: standin.NewLog(standin.LogConfig{}), roster: standin.NewRoster(config)}
	anywhere := netip.MustParseAddrPort("127.0.0.1:0")
	at, err := f.log.Listen(anywhere)
	if err != nil {
		return nil, err
	}
	f.logURL = "http://" + at.String()
	if at, err = f.roster.Listen(anywhere); err != nil {
		return nil, err
	}
	f.listURL = "http://" + at.String()
	f.publisher = publication.New(platform.NewLog(f.logURL, platform.NewClient()), catalogue.Rules{SnapshotKey: []byte(peerKey)})
	for i := range entries {
		if _, err := f.publish(ctx, i, 0); err != nil {
			return nil, err
		}
	}
	for range size {
		if err := f.add(); err != nil {
			return nil, err
		}
	}
	return f, f.awaitReady(ctx)
}

// add starts a node and puts it on the list with its share of endpoints.
func (f *fleet) add() error {
	n, err := f.newNode()
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	for i := range endpointsPerNode {
		number := len(f.nodes)*endpointsPerNode + i
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 9000)
		if err := f.roster.Put(standin.Instance{Address: a, Kind: standin.KindEndpoint, DataCentre: "lulea-a", State: standin.InstanceLive}); err != nil {
			return err
		}
	}
	return f.roster.Put(standin.Instance{Address: n.address, Kind: standin.KindInstance, DataCentre: "lulea-a", State: standin.InstanceLive})
}

// publish changes the entry of the number and returns the offset of the accepted change.
func (f *fleet) publish(ctx context.Context, number, limit int) (uint64, error) {
	e := &catalogue.Entry{
		Name: fmt.Sprintf("entry%d", number), Owner: "islaget", Kind: catalogue.KindEngine, Class: "assessment",
		Model: "ice", Version: "1", MaximumTokens: limit,
	}
	for i := range 46 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(number), byte(i)}), 9000)
		e.Endpoints = append(e.Endpoints, catalogue.Endpoint{Address: a, DataCentre: "lulea-a"})
	}
	subject := catalogue.Subject{Kind: catalogue.SubjectEntry, Name: e.Name}
	done, err := f.publisher.Publish(ctx, &publication.Wish{Subject: subject, Entry: e, Operator: e.Owner})
	return done.Offset, err
}

func (f *fleet) awaitReady(ctx context.Context) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); {
		ready := 0
		for _, n := range f.nodes {
			if n.replica.Ready() && len(n.members.Live()) >= len(f.nodes) {
				ready++
			}
		}
		if ready == len(f.nodes) {
			return nil
		}
		if !pause(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return errNotReady
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.close()
	}
	_ = f.log.Close()
	_ = f.roster.Close()
}

// pause tells whether the context still runs after the wait.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
