package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// Planned says what a run does that has planned work only: stops of instances in turn, engines that leave after a notice, reloads and new catalogues.
type Planned struct {
	Stops    time.Duration // between the stops of two instances
	Grace    time.Duration // from SIGTERM until SIGKILL
	Reclaims time.Duration // between two notices on average
	Together int           // engines that get a notice at once
	Factor   float64       // of the load's times
}

// planned draws the planned work of a run, each kind from a source of its own.
func planned(seed uint64, span time.Duration, o *Planned, without *Without) []step {
	var steps []step
	series := func(k kind, source uint64, mean time.Duration, together int) {
		random := rand.New(rand.NewPCG(seed, source))
		for at := between(random, quietLead, quietLead+mean); at < span-quietTail; at += between(random, mean/2, mean*3/2) {
			target := random.IntN(1 << 16)
			for n := range together {
				steps = append(steps, step{at: at, kind: k, target: target + n, notice: plannedNotice})
			}
		}
	}
	if !without.Stops {
		steps = append(steps, stops(seed, span, o.Stops)...)
	}
	if !without.Reclaims {
		series(kindReclaim, 0x4ec1, o.Reclaims, o.Together)
	}
	if !without.Reloads {
		series(kindReload, 0x4e10, reloadPause, 1)
	}
	if !without.Catalogues {
		series(kindCatalogue, 0xca7a, cataloguePause, 1)
	}
	return sorted(steps)
}

// stops draws the stops, of one instance after the other. Some come shortly after a reload, some are told twice.
func stops(seed uint64, span, pause time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 0x5709))
	var steps []step
	target := random.IntN(1 << 16)
	for at := quietLead; at < span-quietTail; at += pause {
		s := step{at: at, kind: kindStop, target: target, last: restartPause}
		switch random.IntN(4) {
		case 0:
			steps = append(steps, step{at: at - between(random, 0, reloadLead), kind: kindReload, target: target})
		case 1:
			s.again = between(random, 0, secondSignal)
		}
		steps = append(steps, s)
		target++
	}
	return steps
}

// stop has an instance end in the grace period.
func (n *node) stop(p step, period time.Duration) {
	limit := time.Now().Add(period)
	n.stopping.Store(true)
	time.AfterFunc(period/3, func() { n.stopping.Store(false) }) // the listener closes about then
	n.signal(syscall.SIGTERM)
	if p.again > 0 && !n.over(p.again) {
		n.signal(syscall.SIGTERM)
	}
	if !n.over(time.Until(limit)) {
		n.end()
	}
}

// await waits until an instance that has been started takes work.
func (n *node) await() bool {
	for limit := time.Now().Add(readyWait); time.Now().Before(limit); time.Sleep(readyPause) {
		if n.isReady() {
			return true
		}
	}
	return false
}

// watch notes which instances say that they take work, as a load balancer does, until the channel is closed.
func (s *site) watch(over <-chan struct{}) {
	ticker := time.NewTicker(watchPause)
	defer ticker.Stop()
	for {
		for _, n := range s.nodes {
			n.listed.Store(n.isReady())
		}
		select {
		case <-over:
			return
		case <-ticker.C:
		}
	}
}
