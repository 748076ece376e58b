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
func (i *Instance) restartCatalogueRead() {
	select {
	case i.restartCatalogue <- struct{}{}:
	default:
	}
}

func (i *Instance) consumeCatalogue(ctx context.Context) {
	c := &consumer{instance: i, topic: platform.TopicOperator, maximumWait: logReadWait, restart: i.restartCatalogue, onRecords: i.applyCatalogueRecords}
	c.onList = func(records []platform.Record, _ int64) { i.applyCatalogueRecords(records) }
	c.run(ctx)
}

// takeCatalogue puts the newest catalogue among the records in force; a version never goes back.
func (i *Instance) applyCatalogueRecords(records []platform.Record) {
	for _, r := range records {
		if r.Key != platform.KeyCatalogue || len(r.Value) == 0 {
			continue
		}
		i.applyCatalogue(r.Value, r.Offset, "log")
	}
}

// catalogueRecord is a catalogue that other instances may ask for.
type compressedCatalogue struct {
	version    int64
	compressed func() ([]byte, error) // for other instances, made when the first one asks
}

// decodeCatalogue reads a catalogue and puts it in force if it is newer than the present one.
func (i *Instance) applyCatalogue(data []byte, offset int64, source string) {
	table, err := platform.DecodeCatalogue(data)
	if err != nil {
		i.logger.Error("catalogue refused", "offset", offset, "source", source, "error", err.Error())
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if current := i.table.Load(); current != nil && current.Version >= table.Version {
		return
	}
	i.table.Store(table)
	copied := slices.Clone(data)
	compressed := sync.OnceValues(func() ([]byte, error) { return compress(copied) })
	i.catalogue.Store(&compressedCatalogue{version: table.Version, compressed: compressed})
	i.logger.Info("catalogue in force", "version", table.Version, "routes", table.Routes(), "source", source)
	i.updateRouter()
	i.gossiper.reportSoon()
}

func (i *Instance) consumeEndpoints(ctx context.Context) {
	c := &consumer{instance: i, topic: platform.TopicEndpoints, maximumWait: i.settings.Heartbeat, pause: i.pauseBetweenReads, onOffset: i.listOffset.Store, onRegained: i.restartCatalogueRead}
	c.onList = func(records []platform.Record, end int64) {
		now := time.Now()
		i.latestRead.Store(&now)
		i.latestOwnRead.Store(&now)
		changes := i.decodeEndpoints(records)
		i.announceChanges(i.roster.Replace(changes, end, missingGrace, now))
		i.listOffset.Store(end)
		i.listed.Store(true)
		i.refreshRouter()
	}
	c.onRecords = func(records []platform.Record) {
		now := time.Now()
		i.latestRead.Store(&now)
		i.latestOwnRead.Store(&now)
		changes := i.decodeEndpoints(records)
		var gone []roster.Change
		if now.Sub(c.latestFailure) < missingGrace {
			gone, changes = departures(changes), arrivals(changes)
		}
		var changed []roster.Change
		for _, change := range changes {
			if i.roster.Apply(change, now) {
				changed = append(changed, change)
			}
		}
		changed = append(changed, i.roster.Lose(gone, c.lostOffset, now)...)
		if i.announceChanges(changed); len(changed) > 0 {
			i.refreshRouter()
		}
	}
	c.run(ctx)
}

// tellChanged tells the others what the log said of endpoints.
func (i *Instance) announceChanges(changes []roster.Change) {
	for _, c := range changes {
		i.gossiper.announce(c)
		i.observer.endpointChanged(c, "log")
	}
	if len(changes) > 0 {
		i.gossiper.reportSoon()
	}
}

// pauseList waits between two reads of the list of endpoints. A few instances read for all and tell the others of each change; one
// that does not read waits until it has to, or until others know of a change that it has missed.
func (i *Instance) pauseBetweenReads(ctx context.Context) error {
	isReader, readers := i.gossiper.readerStatus(time.Now())
	pause := max(time.Duration(readers)*listPausePerReader, minimumListPause)
	if err := wait.For(ctx, pause*4/5+rand.N(pause*2/5)); err != nil || isReader {
		return err
	}
	missedSince := time.Time{} // since when others know of a change that this instance does not
	limit := time.Now().Add(maximumUnreadTime)
	for time.Now().Before(limit) {
		now := time.Now()
		if isReader, _ := i.gossiper.readerStatus(now); isReader {
			return nil
		}
		switch {
		case i.gossiper.latestOffset(now) <= i.knownOffset():
			missedSince = time.Time{}
		case missedSince.IsZero():
			missedSince = now
		case now.Sub(missedSince) >= missedUpdateGrace:
			return nil
		}
		if err := wait.For(ctx, readCheckInterval); err != nil {
			return err
		}
	}
	return nil
}

// covered gives the offset up to which this instance knows of each change of an endpoint.
func (i *Instance) knownOffset() int64 { return max(i.roster.Latest(), i.listOffset.Load()) }

// news tells whether another instance's change is newer than what this one has read of the log itself. An endpoint that it has long
// forgotten must not come back by one that has not heard of its end.
func (i *Instance) notOlderThanList(c roster.Change) bool { return c.Offset >= i.listOffset.Load() }

// readAge tells how long ago this instance read the list of endpoints; negative if it has not.
func (i *Instance) readAge(now time.Time) time.Duration {
	latest := i.latestOwnRead.Load()
	if latest == nil {
		return -1
	}
	return now.Sub(*latest)
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
func (i *Instance) decodeEndpoints(records []platform.Record) []roster.Change {
	changes := make([]roster.Change, 0, len(records))
	for _, r := range records {
		c, err := platform.DecodeEndpoint(r)
		if err != nil {
			i.observer.recordUnreadable(r.Key, err)
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

// places finds endpoints for the relay.
type rosterAdapter struct {
	table *roster.Table
}

// At returns the newest start of an endpoint at the address.
func (a rosterAdapter) At(service string, address netip.AddrPort) (relay.Endpoint, bool) {
	e, notice, found := a.table.At(service, address)
	return relay.Endpoint{ID: e.ID, Address: e.Address, DataCentre: e.DataCentre, Notice: notice}, found
}
