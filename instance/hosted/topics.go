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
	"dogwooddyke/state/evacuation"
	"dogwooddyke/state/position"
	"dogwooddyke/state/roster"
)

// restartCatalogueRead restarts the current read of the catalogue's topic, because the log may have lost that call.
func (i *Instance) restartCatalogueRead() {
	signal(i.restartCatalogue)
}

func (i *Instance) consumeCatalogue(ctx context.Context) {
	c := &consumer{instance: i, topic: platform.TopicOperator, maximumWait: logReadWait, restart: i.restartCatalogue}
	c.onList = func(records []platform.Record, end position.Position) {
		i.replaceEvacuations(evacuationsOf(records), end, "log")
		i.operatorRead(end)
		i.applyCatalogueRecords(records)
	}
	c.onRecords = func(records []platform.Record) {
		i.applyEvacuations(records)
		i.applyCatalogueRecords(records)
	}
	c.onRead = i.operatorRead
	c.run(ctx)
}

// operatorRead records that this instance has read what the operators wrote up to the position.
func (i *Instance) operatorRead(next position.Position) {
	i.operatorPosition.Store(&next)
	i.catalogueRead.Store(&next)
}

// applyCatalogueRecords applies the catalogues among the records; older versions than the current one have no effect.
func (i *Instance) applyCatalogueRecords(records []platform.Record) {
	for _, r := range records {
		if r.Key != platform.KeyCatalogue || len(r.Value) == 0 {
			continue
		}
		i.applyCatalogue(r.Value, r.Position.Offset, "log")
	}
}

// servedCatalogue is the current catalogue as other instances can fetch it.
type servedCatalogue struct {
	version    int64
	compressed func() ([]byte, error) // returns the compressed catalogue, computed on the first call
}

// applyCatalogue decodes a catalogue and makes it the current one if its version is newer; it reports whether it did. The offset, -1 for a
// catalogue from a peer, and the source are for log lines.
func (i *Instance) applyCatalogue(data []byte, offset int64, source string) bool {
	table, err := platform.DecodeCatalogue(data)
	if err != nil {
		i.logger.Error("could not decode catalogue", "offset", offset, "source", source, "error", err.Error())
		return false
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if current := i.table.Load(); current != nil && current.Version >= table.Version {
		return false
	}
	i.table.Store(table)
	copied := slices.Clone(data)
	compressed := sync.OnceValues(func() ([]byte, error) { return compress(copied) })
	i.catalogue.Store(&servedCatalogue{version: table.Version, compressed: compressed})
	i.logger.Info("catalogue in force", "version", table.Version, "routes", table.Routes(), "source", source)
	i.updateRouter()
	i.gossiper.reportSoon()
	return true
}

func (i *Instance) consumeEndpoints(ctx context.Context) {
	c := &consumer{instance: i, topic: platform.TopicEndpoints, maximumWait: i.settings.Heartbeat, lost: &i.listLost, pause: i.pauseBeforeRead, onRead: i.listRead, onRegained: i.restartCatalogueRead}
	c.onList = func(records []platform.Record, end position.Position) {
		changes := i.decodeEndpoints(records)
		i.announceChanges(i.roster.Replace(changes, end, missingGrace, time.Now()))
		i.listRead(end)
		i.listed.Store(true)
		i.refreshRouter()
	}
	c.onRecords = func(records []platform.Record) {
		now := time.Now()
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
		changed = append(changed, i.roster.RemoveVanished(gone, c.lostPosition, now)...)
		if i.announceChanges(changed); len(changed) > 0 {
			i.refreshRouter()
		}
	}
	c.run(ctx)
}

// announceChanges logs the endpoint changes that were read from the log, and queues them for the next reports.
func (i *Instance) announceChanges(changes []roster.Change) {
	for _, c := range changes {
		i.gossiper.announce(c)
		i.observer.endpointChanged(c, "log")
	}
	if len(changes) > 0 {
		i.gossiper.reportSoon()
	}
}

// pauseBeforeRead waits before a read of the endpoint list. A few instances, the readers, read the list for all and report each
// change to the others. An instance that is not a reader waits until it becomes one, until it has missed a change that others know,
// or for maximumUnreadTime. It returns an error if the context ends.
func (i *Instance) pauseBeforeRead(ctx context.Context) error {
	if err := i.awaitRegistration(ctx); err != nil {
		return err
	}
	isReader, readers := i.gossiper.readerStatus(time.Now())
	pause := max(time.Duration(readers)*listPausePerReader, minimumListPause)
	if err := wait.For(ctx, pause*4/5+rand.N(pause*2/5)); err != nil || isReader {
		return err
	}
	deadline := time.Now().Add(maximumUnreadTime)
	for time.Now().Before(deadline) {
		if isReader, _ := i.gossiper.readerStatus(time.Now()); isReader || i.missesChange(ctx) {
			return nil
		}
		if err := i.awaitNews(ctx, readCheckInterval); err != nil {
			return err
		}
	}
	return nil
}

// awaitRegistration waits until this instance knows the registered instances, among which the readers are chosen, but for no longer than
// registrationGrace once, if the log does not take the registration. It returns an error if the context ends.
func (i *Instance) awaitRegistration(ctx context.Context) error {
	timer := time.NewTimer(registrationGrace)
	defer timer.Stop()
	select {
	case <-i.registered:
	case <-timer.C:
		i.registeredOnce.Do(func() { close(i.registered) })
	case <-ctx.Done():
	}
	return ctx.Err()
}

// missesChange reports whether others know a change that this instance does not know, and does not learn of within missedUpdateGrace or
// somewhat more. The time is random, since many instances may miss the same change.
func (i *Instance) missesChange(ctx context.Context) bool {
	if !i.knownPosition().Before(i.gossiper.latest(time.Now())) {
		return false
	}
	_ = wait.For(ctx, missedUpdateGrace+rand.N(missedUpdateGrace)) // an ended context ends the caller's loop
	return i.knownPosition().Before(i.gossiper.latest(time.Now()))
}

// awaitNews waits until a report shows a change that this instance does not know, or for the duration. It returns an error if the context
// ends.
func (i *Instance) awaitNews(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-i.news:
	}
	return ctx.Err()
}

// knownPosition returns the log position up to which this instance knows all changes of endpoints.
func (i *Instance) knownPosition() position.Position {
	return position.Latest(i.roster.Latest(), i.listPosition())
}

// listPosition returns the log position up to which this instance has read the endpoint list, the zero position if it has not read it.
func (i *Instance) listPosition() position.Position {
	if p := i.readPosition.Load(); p != nil {
		return *p
	}
	return position.Position{}
}

// listRead records that this instance has read the endpoint list up to the position. A read without records counts as well: it shows that
// nothing has changed.
func (i *Instance) listRead(next position.Position) {
	now := time.Now()
	i.readPosition.Store(&next)
	i.latestRead.Store(&now)
	i.latestOwnRead.Store(&now)
	i.listedSince.CompareAndSwap(nil, &now)
}

// notOlderThanList reports whether another instance's change is not older than this instance's own read of the log. An endpoint that
// has been removed from the roster must not be added again by an instance that does not know yet that the endpoint is gone.
func (i *Instance) notOlderThanList(c roster.Change) bool { return !c.Before(i.listPosition()) }

// readAge returns the time since this instance read the endpoint list; negative: never.
func (i *Instance) readAge(now time.Time) time.Duration {
	latest := i.latestOwnRead.Load()
	if latest == nil {
		return -1
	}
	return now.Sub(*latest)
}

// departures returns the changes that remove an endpoint.
func departures(changes []roster.Change) []roster.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(c roster.Change) bool { return c.Endpoint != nil })
}

// arrivals returns the changes that add or update an endpoint.
func arrivals(changes []roster.Change) []roster.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(c roster.Change) bool { return c.Endpoint == nil })
}

// decodeEndpoints decodes records of the endpoint list; a record that can't be decoded is logged and skipped.
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

// rosterAdapter adapts the roster to relay.Roster.
type rosterAdapter struct {
	table       *roster.Table
	evacuations *evacuation.Table
}

// At returns the endpoint that was started last at an address, and whether there is one.
func (a rosterAdapter) At(service string, address netip.AddrPort) (relay.Endpoint, bool) {
	e, notice, found := a.table.Lookup(service, address)
	if !found {
		return relay.Endpoint{}, false
	}
	return relay.Endpoint{
		ID:         e.ID,
		Address:    e.Address,
		Born:       e.Born,
		DataCentre: e.DataCentre,
		Version:    e.Version,
		Evacuated:  a.evacuations.Contains(e.DataCentre),
		Notice:     notice,
	}, true
}
