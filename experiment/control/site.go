package control

import (
	"cmp"
	"errors"
	"time"

	"dogwooddyke/experiment/member"
	"dogwooddyke/standin"
	"dogwooddyke/standin/model"
)

// site is where the platform and the engines are; the stand-ins are nil when they run in another process.
type site struct {
	Addresses
	list    member.List
	log     *standin.Log
	roster  *standin.Roster
	engines []*standin.Engine
}

// startSite starts the stand-ins in this process.
func startSite(engines int, retention time.Duration) (*site, error) {
	s := &site{
		log:    standin.NewLog(standin.LogConfig{Rate: logRate, Latency: logLatency, Retention: retention}),
		roster: standin.NewRoster(standin.RosterConfig{Lag: rosterLag}),
	}
	s.list = s.roster
	var logFault, rosterFault error
	s.Log, logFault = s.log.Listen(member.Loopback())
	s.Roster, rosterFault = s.roster.Listen(member.Loopback())
	if err := cmp.Or(logFault, rosterFault); err != nil {
		return nil, errors.Join(err, s.close())
	}
	for n := range engines {
		if err := s.addEngine(n); err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	return s, nil
}

func (s *site) addEngine(number int) error {
	e := standin.NewEngine(standin.EngineConfig{Model: "model", Version: "1", ChecksFence: true, Sizes: model.Config{Seed: uint64(number)}})
	s.engines = append(s.engines, e)
	at, err := e.Listen(member.Loopback())
	s.Engines = append(s.Engines, at)
	return err
}

// outage makes the log refuse everything for the span.
func (s *site) outage(span time.Duration) error {
	return s.log.Fault(standin.Fault{Kind: standin.FaultOutage, Until: time.Now().Add(span)})
}

// loseAnswer makes the log take the next append without an answer.
func (s *site) loseAnswer() error {
	return s.log.Fault(standin.Fault{Kind: standin.FaultDropAnswer, Value: 1})
}

func (s *site) close() error {
	var faults []error
	if s.log != nil {
		faults = append(faults, s.log.Close())
	}
	if s.roster != nil {
		faults = append(faults, s.roster.Close())
	}
	for _, e := range s.engines {
		faults = append(faults, e.Close())
	}
	return errors.Join(faults...)
}
