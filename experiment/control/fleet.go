package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"dogwooddyke/experiment/member"
	"dogwooddyke/internal/wait"
)

// dataCentres are where instances start, in turn.
var dataCentres = []string{"a", "b"}

// fleet is the instances of a run, those that have ended included.
type fleet struct {
	site   *site
	keys   member.Keys
	logger *slog.Logger

	mutex sync.Mutex // guards nodes; taken before a node's own
	nodes []*node
}

func newFleet(s *site, logger *slog.Logger) *fleet {
	return &fleet{site: s, keys: member.NewKeys(), logger: logger}
}

// add starts one instance.
func (f *fleet) add(ctx context.Context) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	number := len(f.nodes)
	n, err := startNode(ctx, f.site, fmt.Sprintf("instance%d", number), dataCentres[number%len(dataCentres)], f.keys, f.logger)
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	return nil
}

// all returns every instance that was started.
func (f *fleet) all() []*node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]*node(nil), f.nodes...)
}

// live returns the instances whose end has not begun.
func (f *fleet) live() []*node {
	var live []*node
	for _, n := range f.all() {
		if n.endedAt().IsZero() {
			live = append(live, n)
		}
	}
	return live
}

// await returns when the condition holds at every live instance at once, or with an error after the timeout.
func (f *fleet) await(ctx context.Context, timeout time.Duration, holds func(*node) bool) error {
	deadline := time.Now().Add(timeout)
	for {
		all := true
		for _, n := range f.live() {
			all = all && holds(n)
		}
		if all {
			return nil
		}
		if time.Now().After(deadline) || wait.For(ctx, pollPause) != nil {
			return errNotInTime
		}
	}
}

func (f *fleet) close() {
	for _, n := range f.live() {
		n.kill()
	}
}

// errNotInTime reports instances that did not get where they should in time.
var errNotInTime = errors.New("not all instances got there in time")
