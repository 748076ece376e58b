package hosted

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/platform"
	"dogwooddyke/state/position"
)

// checkCatalogue looks for records that the waiting read of the catalogue's topic should have returned, until the context ends. That read may never be
// answered: its connection may have gone silent for good, or the log may have lost the call. A few instances look for all; the others learn of a
// newer catalogue from their reports. While the log is lost, its return is noticed by the reads of the endpoint list.
func (i *Instance) checkCatalogue(ctx context.Context) {
	for wait.For(ctx, wait.Jitter(checkInterval)) == nil {
		if i.gossiper.isChecker(time.Now()) && !i.listLost.Load() && i.missesRecord(ctx) {
			i.observer.readUnanswered(platform.TopicOperator)
			i.restartCatalogueRead()
		}
	}
}

// missesRecord reports whether the log has a record of the catalogue's topic that this instance does not read for some time.
func (i *Instance) missesRecord(ctx context.Context) bool {
	read := i.catalogueRead.Load()
	if read == nil {
		return false
	}
	end, err := i.endOfCatalogue(ctx, *read)
	gone := errors.Is(err, platform.ErrExpired) || errors.Is(err, platform.ErrRestored) // the waiting read should have returned this error
	if !gone && (err != nil || !read.Before(end)) {
		return false // any other error shows at the reads of the topics too
	}
	if wait.For(ctx, checkGrace) != nil {
		return false
	}
	return *i.catalogueRead.Load() == *read
}

// endOfCatalogue returns the position after the last record of the catalogue's topic, without waiting for more.
func (i *Instance) endOfCatalogue(ctx context.Context, from position.Position) (position.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return wait.First(ctx, probeInterval, onNewConnections(i.log, func(ctx context.Context) (position.Position, error) {
		_, end, err := i.log.Read(ctx, platform.TopicOperator, from, 0)
		return end, err
	}))
}

// onNewConnections returns the call, of which every repetition is made on a new connection: the idle ones may have gone silent like that of the
// call before.
func onNewConnections[T any](log *platform.Log, call func(ctx context.Context) (T, error)) func(ctx context.Context) (T, error) {
	var calls atomic.Int32
	return func(ctx context.Context) (T, error) {
		if calls.Add(1) > 1 {
			log.CloseIdleConnections()
		}
		return call(ctx)
	}
}
