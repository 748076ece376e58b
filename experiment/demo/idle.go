package demo

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sys/unix"

	"dogwooddyke/experiment/load"
	"dogwooddyke/internal/wait"
)

// Idle is what a fleet without traffic costs in one second, summed over all instances.
type Idle struct {
	Microseconds float64 // processor time of the whole process, stand-ins included
	Bytes        float64 // between instances, each counted once where it is sent
	Loads        float64 // bytes of engines' load reports, both ways
	Caches       float64 // bytes of engines' cache events, both ways
	Log          float64 // bytes of reads of the log, both ways
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
	_ = wait.For(ctx, workSettle)
	before := f.spent()
	_ = wait.For(ctx, time.Duration(seconds*float64(time.Second)))
	after := f.spent()
	return Idle{
		Microseconds: (after.Microseconds - before.Microseconds) / seconds,
		Bytes:        (after.Bytes - before.Bytes) / seconds,
		Loads:        (after.Loads - before.Loads) / seconds,
		Caches:       (after.Caches - before.Caches) / seconds,
		Log:          (after.Log - before.Log) / seconds,
	}, nil
}

// spent sums up what all instances have spent so far.
func (f *fleet) spent() Idle {
	total := Idle{Microseconds: float64(ProcessorTime().Microseconds()), Bytes: float64(f.sent())}
	for _, n := range f.nodes {
		for _, r := range n.Instance.Usage().Requests {
			bytes := float64(r.BytesIn + r.BytesOut)
			switch r.Name {
			case "endpoint.load":
				total.Loads += bytes
			case "endpoint.cache":
				total.Caches += bytes
			case "log.read":
				total.Log += bytes
			}
		}
	}
	return total
}

// sent returns the bytes that instances have sent to each other.
func (f *fleet) sent() int64 {
	total := int64(0)
	for _, n := range f.nodes {
		total += n.Instance.Usage().PeerBytesOut
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
