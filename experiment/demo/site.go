package demo

import (
	"errors"
	"net/netip"

	"dogwooddyke/experiment/member"
	"dogwooddyke/standin"
)

// site is the stand-in of the platform: log, roster and weight store.
type site struct {
	log       *standin.Log
	roster    *standin.Roster
	weights   *standin.WeightStore
	logAt     netip.AddrPort
	rosterAt  netip.AddrPort
	weightsAt netip.AddrPort
}

func startSite() (*site, error) {
	s := &site{
		log:     standin.NewLog(standin.LogConfig{Rate: logRate, Latency: logLatency}),
		roster:  standin.NewRoster(standin.RosterConfig{Lag: rosterLag}),
		weights: standin.NewWeightStore(standin.WeightStoreConfig{Rate: pullRate}),
	}
	var err error
	for _, l := range []struct {
		stand faulty
		at    *netip.AddrPort
	}{{s.log, &s.logAt}, {s.roster, &s.rosterAt}, {s.weights, &s.weightsAt}} {
		if *l.at, err = l.stand.Listen(member.Loopback()); err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	return s, nil
}

func (s *site) close() error {
	return errors.Join(s.log.Close(), s.roster.Close(), s.weights.Close())
}
