package hosted

import (
	"net/netip"
	"sync"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/catalogue"
)

// sharers finds the other instances of this data centre that use the same engines as this one. They must learn at once that a prompt has
// been sent to an engine, because the engine processes it in less time than a bundle takes to arrive. It is safe for concurrent use, and no
// other mutex is locked while its own is held.
type sharers struct {
	dataCentre string

	mutex      sync.Mutex
	entries    map[string]*catalogue.Entry         // engine entries, by name
	byEngine   map[netip.AddrPort][]netip.AddrPort // instances that use an engine of this data centre; nil: to be computed
	computedAt time.Time
}

func newSharers(dataCentre string) *sharers {
	return &sharers{dataCentre: dataCentre, entries: make(map[string]*catalogue.Entry)}
}

// setEntry adds or replaces an entry; entries of plain services have no effect.
func (s *sharers) setEntry(entry *catalogue.Entry) {
	if entry.Kind != catalogue.KindEngine {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.entries[entry.Name] = entry
	s.byEngine = nil
}

// removeEntry removes an entry.
func (s *sharers) removeEntry(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.entries, name)
	s.byEngine = nil
}

// of returns the instances among the given ones of this data centre that use one of the engines.
func (s *sharers) of(engines, instances []netip.AddrPort, now time.Time) map[netip.AddrPort]bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.byEngine == nil || now.Sub(s.computedAt) > sharersLifetime {
		s.compute(instances)
		s.computedAt = now
	}
	found := make(map[netip.AddrPort]bool)
	for _, e := range engines {
		for _, a := range s.byEngine[e] {
			found[a] = true
		}
	}
	return found
}

// compute finds the instances that use each engine, as the router of each instance does; the caller holds the mutex.
func (s *sharers) compute(instances []netip.AddrPort) {
	s.byEngine = make(map[netip.AddrPort][]netip.AddrPort)
	for _, entry := range s.entries {
		for _, a := range instances {
			for _, e := range routing.Subset(a, s.dataCentre, entry.Endpoints) {
				if e.DataCentre == s.dataCentre {
					s.byEngine[e.Address] = append(s.byEngine[e.Address], a)
				}
			}
		}
	}
}
