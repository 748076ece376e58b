package soak

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
)

// site is the instances of a run, and the stand-ins of all that they meet.
type site struct {
	options *Options
	log     *standin.Log
	engines *standin.Engines
	nodes   []*node
	ledger  *ledger
	pending conc.WaitGroup // faults that have not ended

	crashes crashes      // requests that crash engines
	away    sync.RWMutex // held to read while the log is away

	mutex   sync.Mutex
	fleet   []*member // engines that serve
	gone    []*member
	started int
	version int
	busy    map[*node]bool // a fault has its process
	copies  []standin.Copy // of the log, oldest first

	releasing release         // in progress
	evacuated map[string]bool // data centres for which an order holds
}

// member is one engine with the link to it.
type member struct {
	engine  *standin.Engine
	link    *link
	service string
	place   string
	state   string // in the list of engines; empty: not listed
	serving *serving
}

func newSite(o *Options) (*site, error) {
	s := &site{options: o, log: standin.NewLog(), engines: standin.NewEngines(), ledger: &ledger{}, busy: make(map[*node]bool), evacuated: make(map[string]bool)}
	if o.Planned != nil {
		s.ledger.planned = true
		s.engines.SetPace(plannedPace(o.Planned.Factor))
	}
	s.publish()
	for range o.Engines {
		if err := s.add(serviceModel, standin.FirstVersion); err != nil {
			return s, err
		}
	}
	plain := []string{serviceDesk, serviceOther}
	if o.Planned != nil {
		plain = append(plain, serviceDesk)
	} else if !o.Without.RepeatedRequests {
		plain = append(plain, serviceDesk, serviceDesk) // which crash one after the other
	}
	for _, name := range plain {
		if err := s.add(name, standin.FirstVersion); err != nil {
			return s, err
		}
	}
	for n := range o.Instances {
		log, err := newLink(s.log.Address())
		if err != nil {
			return s, err
		}
		started, err := newNode(o, n, log)
		if err != nil {
			return s, err
		}
		s.nodes = append(s.nodes, started)
		if err := started.start(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// publish puts a new version of the catalogue in force, which sends writes to another service than the one before.
func (s *site) publish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.writeCatalogue()
}

// writeCatalogue writes the latest version; the caller holds the mutex.
func (s *site) writeCatalogue() {
	writes := serviceDesk
	if s.version%2 == 0 {
		writes = serviceOther
	}
	s.log.Put(platform.TopicOperator, platform.KeyCatalogue, standin.TimedCatalogue(s.version, writes, coldRate, s.options.patience()))
}

// add starts an engine in the place of one of the given version, and lists it.
func (s *site) add(service, former string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.started++
	version := former
	if service == serviceModel {
		version = s.nextVersion(former)
	}
	m := &member{engine: s.engines.StartVersion(fmt.Sprint("e-", s.started), version), service: service, place: dataCentres[s.started%len(dataCentres)]}
	l, err := newLink(m.engine.Address())
	if err != nil {
		return err
	}
	m.link = l
	s.engines.Announce(m.engine, l.address())
	s.fleet = append(s.fleet, m)
	m.state = "ready"
	if service == serviceModel {
		m.serving = s.ledger.serves(version, m.place)
	}
	s.list(m)
	return nil
}

// list writes an engine's entry, or drops it; the caller holds the mutex.
func (s *site) list(m *member) {
	if m.state == "" {
		s.log.Drop(m.engine.ID)
		return
	}
	s.log.Put(platform.TopicEndpoints, m.engine.ID, m.engine.Entry(m.service, m.place, m.state))
}

// setState changes an engine's state and its entry.
func (s *site) setState(m *member, state string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m.state = state
	s.list(m)
}

// take removes a generating engine from those that serve, if others are left.
func (s *site) take(number int) *member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var models []int
	for i, m := range s.fleet {
		if m.service == serviceModel {
			models = append(models, i)
		}
	}
	if len(models) < 2 {
		return nil
	}
	at := models[number%len(models)]
	m := s.fleet[at]
	s.fleet = append(s.fleet[:at:at], s.fleet[at+1:]...)
	s.gone = append(s.gone, m)
	s.ledger.servesNoMore(m.serving)
	return m
}

// any gives one of the engines that serve.
func (s *site) any(number int) *member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fleet[number%len(s.fleet)]
}

// hold reserves an instance's process for a fault.
func (s *site) hold(number int) *node {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	n := s.nodes[number%len(s.nodes)]
	if s.busy[n] {
		return nil
	}
	s.busy[n] = true
	return n
}

func (s *site) free(n *node) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.busy, n)
}

// beat writes the engines' heartbeats until the channel is closed.
func (s *site) beat(over <-chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-over:
			return
		case <-ticker.C:
		}
		s.mutex.Lock()
		for _, m := range s.fleet {
			s.list(m)
		}
		s.mutex.Unlock()
	}
}

// ready waits until all instances take work.
func (s *site) ready() error {
	limit := time.Now().Add(readyWait)
	for _, n := range s.nodes {
		for !n.isReady() {
			if time.Now().After(limit) {
				return errors.New(n.name + " is not ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// heal ends all that may still be wrong.
func (s *site) heal() {
	s.pending.Wait()
	s.log.Refuse(0)
	s.log.Silence(false)
}

func (s *site) close() {
	for _, n := range s.nodes {
		n.signal(syscall.SIGCONT)
		n.end()
		n.log.close()
		_ = n.output.Close()
	}
	s.mutex.Lock()
	members := append(s.fleet, s.gone...)
	s.mutex.Unlock()
	for _, m := range members {
		m.link.close()
		m.engine.Close()
	}
	s.log.Close()
}
