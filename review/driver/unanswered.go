package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	rollsAfter  = 22 * time.Second        // from the first request until the first SIGTERM
	rollsEvery  = 14 * time.Second        // between two of them
	rollCount   = 4                       // in turn
	routedAfter = 2300 * time.Millisecond // after SIGTERM, for which the balancer still sends connections: it takes two questions to notice
	lossSlack   = 200 * time.Millisecond  // loss_slack_ms
)

// unanswered stops and starts two instances in turn, as planned, while requests for long streams wait for a place, and counts those whose
// connection is closed without an answer (LOST).
func unanswered(w *world) (int, error) {
	const every = 200 * time.Millisecond // between two requests of all clients: about twice as many as the engines serve
	zones := []string{"a", "b"}
	for n, zone := range zones {
		if _, err := w.engines.start("m-"+zone, serviceModel, zone, fmt.Sprintf(modelPlace, n+1), nil); err != nil {
			return 0, err
		}
	}
	if err := w.publish(1, serviceDesk, keyKept); err != nil {
		return 0, err
	}
	if err := w.start(w.store.address, zones...); err != nil {
		return 0, err
	}
	rolled := make(chan error, 1)
	b := &balancer{out: -1}
	go func() { rolled <- w.roll(b) }()
	for n := 0; ; n++ {
		w.send(w.digest(fmt.Sprintf("d%03d", n), 3000, 116+n*97%233), b.choose(w, n))
		select {
		case err := <-rolled:
			w.clients.Wait()
			return w.countUnanswered(), err
		case <-time.After(every):
		}
	}
}

// balancer sends connections to the instances in turn, but for one that is out of rotation.
type balancer struct {
	out int // index of the instance out of rotation; -1: none
}

// choose returns the instance for the next connection.
func (b *balancer) choose(w *world, n int) *instance {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if n%2 == b.out {
		n++
	}
	return w.instances[n%2]
}

// set takes an instance out of rotation; -1 takes all in.
func (b *balancer) set(w *world, out int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	b.out = out
}

// roll stops the instances in turn and starts each again.
func (w *world) roll(b *balancer) error {
	time.Sleep(rollsAfter)
	for n := range rollCount {
		next := time.Now().Add(rollsEvery)
		if w.trouble {
			if err := w.restart(b, n%2); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(next))
	}
	return nil
}

// restart stops an instance as planned, and starts it again when it has ended.
func (w *world) restart(b *balancer, n int) error {
	stopped := w.instances[n]
	w.record.line("platform: SIGTERM to %s", stopped.name)
	stopped.terminate()
	time.Sleep(routedAfter)
	b.set(w, n)
	<-stopped.ended
	w.record.line("%s has ended", stopped.name)
	i, err := startInstance(w.directory, stopped.name, stopped.zone, stopped.ip, w.store.address)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	w.instances[n] = i
	w.mutex.Unlock()
	for limit := time.Now().Add(startTime); !i.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			return errors.New("instance is not ready again")
		}
	}
	w.record.line("%s is ready again", i.name)
	b.set(w, -1)
	return nil
}

// countUnanswered counts the requests that were read whole and never sent to an engine, and whose connection was closed without an answer though
// their clients still waited.
func (w *world) countUnanswered() int {
	broken := 0
	for _, a := range w.attempts {
		waited := a.endedAt.Sub(a.sentAt)
		if a.status == 0 && !a.left && a.broken != nil && !w.engines.hasReached(a.id) && waited > lossSlack {
			broken++
			w.record.line("LOST: %s was read, had no answer, and its connection was closed %d ms after it was sent", a.id, waited.Milliseconds())
		}
	}
	return broken
}
