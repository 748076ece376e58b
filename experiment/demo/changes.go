package demo

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"dogwooddyke/experiment/load"
	"dogwooddyke/internal/wait"
	"dogwooddyke/transport/operator"
)

// changeEngines is the number of endpoints in the entry that is changed.
const changeEngines = 16

// MeasureChanges publishes changes of one entry to a fleet and returns what passes until the last is in force everywhere.
func MeasureChanges(ctx context.Context, instances, changes int) (cost Idle, err error) {
	layout := overheadLayout(memoryStep, changeEngines)
	layout.Instances = instances
	f, err := startFleet(ctx, &Options{Layout: layout, profiles: []*load.Profile{overheadProfile(1)}, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		return Idle{}, err
	}
	defer func() { err = errors.Join(err, f.close()) }()
	_ = wait.For(ctx, workSettle)
	before, bytes := ProcessorTime(), f.sent()
	revision := uint64(0)
	for i := range changes {
		e := f.endpoints.groups[0].entry()
		e.Limits.Concurrency = 1000 + i
		if revision, err = f.publisher.entry(ctx, e); err != nil {
			return Idle{}, err
		}
	}
	if err := f.await(ctx, time.Now().Add(forceTimeout), func(s *operator.Status) bool { return s.CatalogueRevision >= revision }); err != nil {
		return Idle{}, err
	}
	cost.Microseconds = float64((ProcessorTime() - before).Microseconds())
	cost.Bytes = float64(f.sent() - bytes)
	return cost, nil
}
