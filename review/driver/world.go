package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	startTime  = 20 * time.Second // for processes to become ready
	loopback   = "127.0.0.1"
	modelPlace = "127.0.2.%d"
)

// world is what a case plays in.
type world struct {
	trouble   bool
	record    *record
	directory string
	store     *store
	engines   *engines
	instances []*instance
	proxy     *proxy
	once      sync.Once
	clients   sync.WaitGroup
	mutex     sync.Mutex
	attempts  []*attempt
}

func newWorld(file string, trouble bool) (*world, error) {
	r, err := newRecord(file)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore(loopback + ":0")
	if err != nil {
		return nil, err
	}
	r.line("disruption: %t", trouble)
	return &world{trouble: trouble, record: r, directory: directory, store: s, engines: newEngines(r, s)}, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.once.Do(func() {
		for _, i := range w.instances {
			i.kill()
		}
		w.engines.close()
		if w.proxy != nil {
			w.proxy.close()
		}
		w.store.close()
		w.record.close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(w.directory) // a folder of its own for temporary files
		}
	})
}

// publish has the operator write a configuration; the store has accepted it when publish returns.
func (w *world) publish(version int, payouts string, keys ...string) error {
	err := w.store.putJSON(topicOperator, "config", configuration(version, payouts, keys...))
	w.record.line("operator: version %d, payouts go to %s, keys %v, acknowledged by the store", version, payouts, keys)
	return err
}

// start starts instances, one in each of the zones, and waits until they are ready.
func (w *world) start(storeAddress string, zones ...string) error {
	for n, zone := range zones {
		i, err := startInstance(w.directory, fmt.Sprintf("frontend-%s-%d", zone, n+1), zone, fmt.Sprintf("127.0.1.%d", n+1), storeAddress)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, i)
	}
	for limit := time.Now().Add(startTime); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		for _, i := range w.instances {
			if i.hasEnded() {
				return fmt.Errorf("%s has ended", i.name)
			}
		}
		if w.allReady() {
			w.record.line("%d instances are ready", len(w.instances))
			return nil
		}
	}
	return errors.New("instances are not ready")
}

func (w *world) allReady() bool {
	for _, i := range w.instances {
		if !i.isReady() {
			return false
		}
	}
	return true
}

// send sends a request to an instance, beside others.
func (w *world) send(a *attempt, to *instance) {
	w.mutex.Lock()
	w.attempts = append(w.attempts, a)
	w.mutex.Unlock()
	w.clients.Go(func() { a.send(w.record, to) })
}

// digest is a request for a long stream of so many events.
func (w *world) digest(id string, prompt, events int) *attempt {
	w.engines.mutex.Lock()
	w.engines.lengths[id] = events
	w.engines.mutex.Unlock()
	return &attempt{
		id: id, path: pathDigest + requestPath, key: keyKept, usage: fmt.Sprintf("%d,%d", prompt, 2196), deadline: 39 * time.Second, patience: 7200 * time.Millisecond,
	}
}

// payout is a request that may run once.
func payout(id, key string) *attempt {
	return &attempt{id: id, path: pathPayout + requestPath, key: key, deadline: 3 * time.Second}
}
