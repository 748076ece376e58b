package demo

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sys/unix"

	"dogwooddyke/experiment/load"
)

// Idle is what a fleet without traffic costs in one second, summed over all instances.
type Idle struct {
	Microseconds float64 // processor time of the whole process, stand-ins included
	Bytes        float64 // between instances, each counted once where it is sent
}

// MeasureIdle runs so many instances before so many engines of one entry without traffic.
func MeasureIdle(ctx context.Context, instances, engines int, seconds float64) (idle Idle, err error) {
	layout := overheadLayout(memoryStep, engines)
	layout.Instances = instances
	f, err := startFleet(ctx, &Options{Layout: layout, profiles: []*load.Profile{overheadProfile(1)}, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		return Idle{}, err
	}
	defer func() { err = errors.Join(err, f.close()) }()
	pause(ctx, workSettle)
	before, bytes := ProcessorTime(), f.sent()
	pause(ctx, time.Duration(seconds*float64(time.Second)))
	idle.Microseconds = float64((ProcessorTime() - before).Microseconds()) / seconds
	idle.Bytes = float64(f.sent()-bytes) / seconds
	return idle, nil
}

// sent returns the bytes that instances have sent to each other.
func (f *fleet) sent() int64 {
	total := int64(0)
	for _, n := range f.nodes {
		total += n.instance.Usage().PeerBytesOut
	}
	return total
}

// ProcessorTime returns the time that this process has spent on processors, in user and kernel mode.
func ProcessorTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
