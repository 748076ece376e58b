package demo

import (
	"errors"
	"net/netip"

	"dogwooddyke/experiment/member"
	"dogwooddyke/standin"
	"dogwooddyke/state/catalogue"
)

// faulty is a stand-in that things can go wrong with.
type faulty interface {
	Listen(address netip.AddrPort) (netip.AddrPort, error)
	Fault(fault standin.Fault) error
	Close() error
}

// group is the endpoints of one entry.
type group struct {
	service   *Service
	engines   []*standin.Engine
	services  []*standin.Service
	addresses []netip.AddrPort
}

// endpoints is all endpoints of a layout.
type endpoints struct {
	groups []*group
}

// startEndpoints starts the endpoints of a layout on ports that the system picks.
func startEndpoints(l *Layout) (*endpoints, error) {
	b := &endpoints{}
	for i := range l.Services {
		g := &group{service: &l.Services[i]}
		b.groups = append(b.groups, g)
		for n := range g.service.Endpoints {
			if err := g.start(n); err != nil {
				return nil, errors.Join(err, b.close())
			}
		}
	}
	return b, nil
}

func (g *group) start(number int) error {
	var endpoint faulty
	if g.service.Entry.Kind == catalogue.KindEngine {
		e := standin.NewEngine(g.service.engineConfig(number))
		g.engines = append(g.engines, e)
		endpoint = e
	} else {
		s := standin.NewService(standin.ServiceConfig{Name: g.service.Entry.Name, Latency: serviceTime})
		g.services = append(g.services, s)
		endpoint = s
	}
	at, err := endpoint.Listen(member.Loopback())
	g.addresses = append(g.addresses, at)
	return err
}

// endpoint returns one stand-in of the group.
func (g *group) endpoint(number int) faulty {
	if g.service.Entry.Kind == catalogue.KindEngine {
		return g.engines[number]
	}
	return g.services[number]
}

// find returns the endpoints of an entry.
func (b *endpoints) find(entry string) (*group, bool) {
	for _, g := range b.groups {
		if g.service.Entry.Name == entry {
			return g, true
		}
	}
	return nil, false
}

func (b *endpoints) close() error {
	var faults []error
	for _, g := range b.groups {
		for _, e := range g.engines {
			faults = append(faults, e.Close())
		}
		for _, s := range g.services {
			faults = append(faults, s.Close())
		}
	}
	return errors.Join(faults...)
}
