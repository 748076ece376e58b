package hosted

import (
	"maps"
	"slices"
	"time"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/roster"
	"dogwooddyke/state/route"
)

// refreshRouter updates the router's entries from the catalogue and the roster.
func (i *Instance) refreshRouter() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.updateRouter()
}

// updateRouter sets an entry of the router for each service and removes the others, unless they have runs in progress, which may have to go on at
// another endpoint. It closes initialized once the endpoint list is known as well. The caller must hold the mutex.
func (i *Instance) updateRouter() {
	table := i.table.Load()
	if table == nil {
		return
	}
	now := time.Now()
	endpoints := i.roster.List()
	maps.Copy(i.routerEntries, table.Services)
	for name, s := range i.routerEntries {
		if table.Services[name] == nil && !i.router.HasRuns(name) {
			delete(i.routerEntries, name)
			i.router.RemoveEntry(name, now)
			i.sharers.removeEntry(name)
			continue
		}
		entry := i.entryOf(s, endpoints)
		i.router.SetEntry(entry, now)
		i.sharers.setEntry(entry)
	}
	i.updateQuotas(now)
	i.updateStandings(endpoints, now)
	i.updateShares(now)
	i.gossiper.reportLeft()
	if i.listed.Load() {
		i.initializedOnce.Do(func() { close(i.initialized) })
	}
}

// entryOf returns the router's entry for a service. The endpoints of an evacuated data centre take no new work.
func (i *Instance) entryOf(s *route.Service, endpoints []roster.Endpoint) *catalogue.Entry {
	entry := &catalogue.Entry{Name: s.Name, Kind: catalogue.KindService, Class: s.Name}
	if s.Engine != nil {
		entry.Kind = catalogue.KindEngine
	}
	for _, e := range endpoints {
		if e.Service == s.Name {
			entry.Endpoints = append(entry.Endpoints, catalogue.Endpoint{Address: e.Address, DataCentre: e.DataCentre, Version: e.Version, Leaving: e.Leaving || !e.LeavesSince.IsZero() || i.evacuations.Contains(e.DataCentre)})
		}
	}
	slices.SortFunc(entry.Endpoints, func(a, b catalogue.Endpoint) int { return a.Address.Compare(b.Address) })
	return entry
}
