package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/experiment/member"
)

// node is one instance, its place on the platform's list and what was seen of its catalogue.
type node struct {
	*member.Member
	name      string
	startedAt time.Time
	watch     watch
	watching  conc.WaitGroup
	stop      context.CancelFunc

	mutex sync.Mutex // guards ended; taken before nothing else
	ended time.Time  // when its death or drain began; zero: it lives
}

// startNode starts an instance, lists it and watches it.
func startNode(ctx context.Context, s *site, name, dataCentre string, keys member.Keys, logger *slog.Logger) (*node, error) {
	m, err := member.Start(ctx, member.Config{Name: name, DataCentre: dataCentre, Keys: keys, Log: s.Log, Roster: s.Roster, List: s.list, Logger: logger})
	if err != nil {
		return nil, err
	}
	n := &node{Member: m, name: name, startedAt: time.Now()}
	ctx, n.stop = context.WithCancel(ctx)
	n.watching.Go(func() { n.watch.run(ctx, m.Instance) })
	return n, nil
}

// kill ends the instance without notice; the platform still lists it.
func (n *node) kill() {
	n.end()
	n.Kill()
}

// drain ends the instance as planned.
func (n *node) drain(ctx context.Context) error {
	n.end()
	return n.Drain(ctx)
}

// end stops the watch, once.
func (n *node) end() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.ended.IsZero() {
		return
	}
	n.ended = time.Now()
	n.endWatch()
}

// endWatch ends the watch; the instance goes on.
func (n *node) endWatch() {
	n.stop()
	n.watching.Wait()
}

// endedAt returns when the instance's death or drain began, or a zero time.
func (n *node) endedAt() time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.ended
}
