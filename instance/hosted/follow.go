package hosted

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/platform"
	"dogwooddyke/protocol/relay"
	"dogwooddyke/state/roster"
)

// readAgain has the catalogue's topic read anew, since its present call may be one that the log has lost.
func (i *Instance) readAgain() {
	select {
	case i.again <- struct{}{}:
	default:
	}
}

func (i *Instance) followCatalogue(ctx context.Context) {
	f := &follower{instance: i, topic: platform.TopicOperator, wait: logWait, again: i.again, take: i.takeCatalogue}
	f.list = func(records []platform.Record, _ int64) { i.takeCatalogue(records) }
	f.run(ctx)
}

// takeCatalogue puts the newest catalogue among the records in force; a version never goes back.
func (i *Instance) takeCatalogue(records []platform.Record) {
	for _, r := range records {
		if r.Key != platform.KeyCatalogue || len(r.Value) == 0 {
			continue
		}
		i.decodeCatalogue(r.Value, r.Offset, "log")
	}
}

// catalogueRecord is a catalogue that other instances may ask for.
type catalogueRecord struct {
	version int64
	packed  func() ([]byte, error) // for other instances, made when the first one asks
}

// decodeCatalogue reads a catalogue and puts it in force if it is newer than the present one.
func (i *Instance) decodeCatalogue(data []byte, offset int64, source string) {
	table, err := platform.DecodeCatalogue(data)
	if err != nil {
		i.logger.Error("catalogue refused", "offset", offset, "source", source, "error", err.Error())
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if former := i.table.Load(); former != nil && former.Version >= table.Version {
		return
	}
	i.table.Store(table)
	kept := slices.Clone(data)
	packed := sync.OnceValues(func() ([]byte, error) { return pack(kept) })
	i.catalogue.Store(&catalogueRecord{version: table.Version, packed: packed})
	i.logger.Info("catalogue in force", "version", table.Version, "routes", table.Routes(), "source", source)
	i.updateRouter()
	i.exchange.poke()
}

func (i *Instance) followEndpoints(ctx context.Context) {
	f := &follower{instance: i, topic: platform.TopicEndpoints, wait: i.settings.Heartbeat, pause: i.pauseList, reached: i.listEnd.Store, back: i.readAgain}
	f.list = func(records []platform.Record, end int64) {
		now := time.Now()
		i.heard.Store(&now)
		i.read.Store(&now)
		changes := i.decode(records)
		i.tellChanged(i.roster.Replace(changes, end, settleGrace, now))
		i.listEnd.Store(end)
		i.listed.Store(true)
		i.refresh()
	}
	f.take = func(records []platform.Record) {
		now := time.Now()
		i.heard.Store(&now)
		i.read.Store(&now)
		changes := i.decode(records)
		var gone []roster.Change
		if now.Sub(f.failed) < settleGrace {
			gone, changes = departures(changes), arrivals(changes)
		}
		var changed []roster.Change
		for _, c := range changes {
			if i.roster.Apply(c, now) {
				changed = append(changed, c)
			}
		}
		changed = append(changed, i.roster.RemoveVanished(gone, f.lostAt, now)...)
		if i.tellChanged(changed); len(changed) > 0 {
			i.refresh()
		}
	}
	f.run(ctx)
}

// tellChanged tells the others what the log said of endpoints.
func (i *Instance) tellChanged(changes []roster.Change) {
	for _, c := range changes {
		i.exchange.tell(c)
		i.observer.endpointChanged(c, "log")
	}
	if len(changes) > 0 {
		i.exchange.poke()
	}
}

// pauseList waits between two reads of the list of endpoints. A few instances read for all and tell the others of each change; one
// that does not read waits until it has to, or until others know of a change that it has missed.
func (i *Instance) pauseList(ctx context.Context) error {
	reads, among := i.exchange.reads(time.Now())
	pause := max(time.Duration(among)*listPauseEach, leastListPause)
	if err := wait.For(ctx, pause*4/5+rand.N(pause*2/5)); err != nil || reads {
		return err
	}
	missed := time.Time{} // since when others know of a change that this instance does not
	longest := time.Now().Add(longestUnread)
	for time.Now().Before(longest) {
		now := time.Now()
		if reads, _ := i.exchange.reads(now); reads {
			return nil
		}
		switch {
		case i.exchange.latest(now) <= i.covered():
			missed = time.Time{}
		case missed.IsZero():
			missed = now
		case now.Sub(missed) >= missedGrace:
			return nil
		}
		if err := wait.For(ctx, readLook); err != nil {
			return err
		}
	}
	return nil
}

// covered gives the offset up to which this instance knows of each change of an endpoint.
func (i *Instance) covered() int64 { return max(i.roster.LatestOffset(), i.listEnd.Load()) }

// news tells whether another instance's change is newer than what this one has read of the log itself. An endpoint that it has long
// forgotten must not come back by one that has not heard of its end.
func (i *Instance) news(c roster.Change) bool { return c.Offset >= i.listEnd.Load() }

// readAge tells how long ago this instance read the list of endpoints; negative if it has not.
func (i *Instance) readAge(now time.Time) time.Duration {
	read := i.read.Load()
	if read == nil {
		return -1
	}
	return now.Sub(*read)
}

// departures gives the changes by which an endpoint is gone.
func departures(changes []roster.Change) []roster.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(c roster.Change) bool { return c.Endpoint != nil })
}

// arrivals gives the changes by which an endpoint is there.
func arrivals(changes []roster.Change) []roster.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(c roster.Change) bool { return c.Endpoint == nil })
}

// decode reads records of the list; one that can't be read names no endpoint to use.
func (i *Instance) decode(records []platform.Record) []roster.Change {
	changes := make([]roster.Change, 0, len(records))
	for _, r := range records {
		c, err := platform.DecodeEndpoint(r)
		if err != nil {
			i.observer.unreadable(r.Key, err)
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

// places finds endpoints for the relay.
type places struct {
	table *roster.Table
}

// At returns the newest start of an endpoint at the address.
func (p places) At(service string, address netip.AddrPort) (relay.Endpoint, bool) {
	e, notice, found := p.table.Lookup(service, address)
	return relay.Endpoint{ID: e.ID, Address: e.Address, DataCentre: e.DataCentre, Notice: notice}, found
}
