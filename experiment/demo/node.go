package demo

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"dogwooddyke/experiment/member"
	"dogwooddyke/transport/operator"
)

const dataCentre = "demo-a"

// node is one instance and its place on the platform's list.
type node struct {
	*member.Member
	stopped atomic.Bool
}

// startNode starts an instance and lists it.
func startNode(ctx context.Context, s *site, grace time.Duration, keys member.Keys, logger *slog.Logger) (*node, error) {
	m, err := member.Start(ctx, member.Config{
		Name: "demo.ini", DataCentre: dataCentre, Grace: grace, Keys: keys, Log: s.logAt, Roster: s.rosterAt, List: s.roster, Logger: logger,
	})
	if err != nil {
		return nil, err
	}
	return &node{Member: m}, nil
}

// drain stops the instance as planned: it finishes what is in progress.
func (n *node) drain(ctx context.Context) error {
	n.stopped.Store(true)
	return n.Drain(ctx)
}

// kill ends the instance without notice.
func (n *node) kill() {
	n.stopped.Store(true)
	n.Kill()
	n.Unlist()
}

func (n *node) callers() string {
	return "http://" + n.Settings.Callers.String()
}

func (n *node) operators() string {
	return "http://" + n.Settings.Operators.String()
}

// status asks the instance how it is, as an operator would.
func (n *node) status(ctx context.Context) (*operator.Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.operators()+"/status", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	s := &operator.Status{}
	return s, json.NewDecoder(response.Body).Decode(s)
}

// errNotReady reports instances that did not become ready in time.
var errNotReady = errors.New("instances did not become ready")
