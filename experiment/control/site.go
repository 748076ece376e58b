package control

import (
	"errors"
	"net/netip"
	"time"

	"dogwooddyke/standin"
	"dogwooddyke/standin/model"
)

// site is the stand-ins of the platform and the engines, all in this process.
type site struct {
	log     *standin.Log
	roster  *standin.Roster
	engines []*standin.Engine

	logAt     netip.AddrPort
	rosterAt  netip.AddrPort
	enginesAt []netip.AddrPort
}

func loopback() netip.AddrPort {
	return netip.MustParseAddrPort("127.0.0.1:0")
}

func startSite(o *Options) (*site, error) {
	s := &site{
		log:    standin.NewLog(standin.LogConfig{Rate: logRate, Latency: logLatency, Retention: o.Retention}),
		roster: standin.NewRoster(standin.RosterConfig{Lag: rosterLag}),
	}
	var err error
	if s.logAt, err = s.log.Listen(loopback()); err != nil {
		return nil, errors.Join(err, s.close())
	}
	if s.rosterAt, err = s.roster.Listen(loopback()); err != nil {
		return nil, errors.Join(err, s.close())
	}
	for n := range entryCount * enginesPerEntry {
		if err := s.addEngine(n); err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	return s, nil
}

func (s *site) addEngine(number int) error {
	e := standin.NewEngine(standin.EngineConfig{
		Entry: entryName(number / enginesPerEntry), Model: "model", Version: "1", ChecksFence: true,
		Sizes: model.Config{Seed: uint64(number)},
	})
	s.engines = append(s.engines, e)
	at, err := e.Listen(loopback())
	s.enginesAt = append(s.enginesAt, at)
	return err
}

// outage makes the log refuse everything for the span.
func (s *site) outage(span time.Duration) error {
	return s.log.Fault(standin.Fault{Kind: standin.FaultOutage, Until: time.Now().Add(span)})
}

// loseAnswers makes the log take the next append without an answer.
func (s *site) loseAnswer() error {
	return s.log.Fault(standin.Fault{Kind: standin.FaultDropAnswer, Value: 1})
}

func (s *site) close() error {
	faults := []error{s.log.Close(), s.roster.Close()}
	for _, e := range s.engines {
		faults = append(faults, e.Close())
	}
	return errors.Join(faults...)
}
