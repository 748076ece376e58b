package claim

import (
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"

	"dogwooddyke/state/record"
)

// MethodGrant and MethodSettle are the peers' methods that a Steward serves.
const (
	MethodGrant  = "claim.grant"
	MethodSettle = "claim.settle"
)

// Stewards tells which live instance is a partition's steward; views may differ between instances.
type Stewards interface {
	Steward(key string) netip.AddrPort
	Self() netip.AddrPort
}

// Settings are equal on all instances.
type Settings struct {
	Partitions       int           // streams that keys are spread over
	AppendsPerSecond int           // records of all partitions together
	Window           time.Duration // for which keys are honoured
}

// Check names the first setting that can't be used.
func (s Settings) Check() error {
	switch {
	case s.Partitions < 1:
		return oops.Errorf("partitions: %d, needs 1 or more", s.Partitions)
	case s.AppendsPerSecond < 1:
		return oops.Errorf("appendsPerSecond: %d, needs 1 or more", s.AppendsPerSecond)
	case s.Window < ClockMargin:
		return oops.Errorf("window: %s, needs %s or more", s.Window, ClockMargin)
	}
	return nil
}

// interval is the shortest time between two records of one partition.
func (s Settings) interval() time.Duration {
	return time.Second * time.Duration(s.Partitions) / time.Duration(s.AppendsPerSecond)
}

// Steward answers for the partitions that are this instance's; it is safe for concurrent use.
type Steward struct {
	log        record.Log
	stewards   Stewards
	observer   Observer
	settings   Settings
	partitions []*partition
	workers    conc.WaitGroup
	ctx        context.Context
	stop       context.CancelFunc
	draining   atomic.Bool
}

// NewSteward returns a steward without stewardships; it takes each over when first asked. The observer may be nil.
func NewSteward(log record.Log, stewards Stewards, observer Observer, settings Settings) (*Steward, error) {
	if err := settings.Check(); err != nil {
		return nil, oops.Wrapf(err, "claims")
	}
	if observer == nil {
		observer = noObserver{}
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Steward{log: log, stewards: stewards, observer: observer, settings: settings, ctx: ctx, stop: stop}
	for i := range settings.Partitions {
		s.partitions = append(s.partitions, newPartition(s, i))
	}
	return s, nil
}

// Grant answers a question about a key of one of the instance's partitions.
func (s *Steward) Grant(ctx context.Context, ask Ask) (Grant, error) {
	grant, err := s.partitions[partitionOf(ask.Key, s.settings.Partitions)].grant(ctx, ask)
	if err == nil {
		s.observer.Answered(grant.State)
	}
	return grant, err
}

// Settle takes the end of a call and returns when it is in the log; false means that another instance is the steward.
func (s *Steward) Settle(ctx context.Context, settlement Settlement) (bool, error) {
	return s.partitions[partitionOf(settlement.Key, s.settings.Partitions)].settle(ctx, settlement)
}

// ServeGrant serves MethodGrant.
func (s *Steward) ServeGrant(ctx context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
	var ask Ask
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, oops.Wrapf(err, "%s", MethodGrant)
	}
	bounded, cancel := context.WithDeadline(ctx, ask.Deadline)
	defer cancel()
	return s.Grant(bounded, ask)
}

// settled is the answer to MethodSettle.
type settled struct {
	Moved bool `json:"moved,omitempty"`
}

// ServeSettle serves MethodSettle.
func (s *Steward) ServeSettle(ctx context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
	var settlement Settlement
	if err := json.Unmarshal(params, &settlement); err != nil {
		return nil, oops.Wrapf(err, "%s", MethodSettle)
	}
	bounded, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	taken, err := s.Settle(bounded, settlement)
	return settled{Moved: !taken}, err
}

// Drain grants nothing more, writes what waits, and ends all stewardships; the context bounds the writing.
func (s *Steward) Drain(ctx context.Context) {
	s.draining.Store(true)
	for _, p := range s.partitions {
		p.flush(ctx)
	}
	s.stop()
	s.workers.Wait()
}

// Mine returns the numbers of the partitions that this instance holds itself to be the steward of.
func (s *Steward) Mine() []int {
	mine := make([]int, 0, len(s.partitions))
	for i := range s.partitions {
		if s.mine(streamOf(i)) {
			mine = append(mine, i)
		}
	}
	return mine
}

// mine reports whether this instance holds itself to be a partition's steward.
func (s *Steward) mine(stream string) bool {
	return !s.draining.Load() && s.stewards.Steward(stream) == s.stewards.Self()
}

func streamOf(partition int) string { return streamPrefix + strconv.Itoa(partition) }
