package demo

import (
	"context"
	"errors"
	"log/slog"
	"runtime"
	"runtime/metrics"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/experiment/load"
	"dogwooddyke/internal/wait"
	"dogwooddyke/standin"
)

// Shape of a memory run: engines slow enough for one process to carry all the streams three times over.
const (
	memoryEngines = 16
	memoryStep    = 40 * time.Millisecond
	memoryTokens  = 100_000 // more than are sent before the run ends
	memoryRate    = 150.0   // requests/s until all streams are open
	memoryWait    = 60 * time.Second
	resetSpan     = 50 * time.Millisecond
	memorySettle  = 2 * time.Second
	workSettle    = 1500 * time.Millisecond
)

// Memory is the live memory of this process in bytes, with streams open by two ways and by none.
type Memory struct {
	Streams      int    `json:"streams"`      // asked for
	DirectOpen   int    `json:"directOpen"`   // streams open when it was measured
	InstanceOpen int    `json:"instanceOpen"` // streams open when it was measured
	Idle         uint64 `json:"idleBytes"`
	Direct       uint64 `json:"directBytes"`
	IdleAgain    uint64 `json:"idleAgainBytes"`
	Instance     uint64 `json:"instanceBytes"`
}

// Added returns what the instance holds for the open streams: load tool and engines are taken off by the direct way.
func (m *Memory) Added() int64 {
	return (int64(m.Instance) - int64(m.IdleAgain)) - (int64(m.Direct) - int64(m.Idle))
}

// MeasureMemory opens streams to engines direct and then through an instance.
func MeasureMemory(ctx context.Context, streams int, seed uint64, logger *slog.Logger) (m *Memory, err error) {
	s, err := startStage(ctx, overheadLayout(memoryStep, memoryEngines), logger)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	m = &Memory{Streams: streams, Idle: liveMemory()}
	if m.DirectOpen, m.Direct, err = withOpen(ctx, s.direct.urls(), s.direct, streams, seed); err != nil {
		return nil, err
	}
	m.IdleAgain = liveMemory()
	if m.InstanceOpen, m.Instance, err = withOpen(ctx, s.fleet.addresses().Instances, s.fleet.endpoints, streams, seed); err != nil {
		return nil, err
	}
	return m, nil
}

// withOpen opens streams, measures and lets them go.
func withOpen(ctx context.Context, targets []string, b *endpoints, streams int, seed uint64) (open int, bytes uint64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var run conc.WaitGroup
	run.Go(func() {
		_, _, err = load.Run(ctx, &load.Options{
			Targets: targets, Profile: overheadProfile(memoryTokens), Rate: memoryRate, Seconds: memoryWait.Seconds(), Seed: seed,
			Candidates: load.StandinCandidates, MaximumOpen: streams,
		})
	})
	deadline := time.Now().Add(memoryWait)
	for b.running() < streams && time.Now().Before(deadline) && wait.For(ctx, pollInterval) == nil {
		continue
	}
	_ = wait.For(ctx, memorySettle)
	open, bytes = b.running(), liveMemory()
	stopped := ctx.Err()
	cancel()
	run.Wait()
	return open, bytes, errors.Join(err, stopped, b.reset())
}

// reset makes all engines lose their state, as they go on with what nobody reads any more.
func (b *endpoints) reset() error {
	var faults []error
	for _, g := range b.groups {
		for _, e := range g.engines {
			faults = append(faults, e.Fault(standin.Fault{Kind: standin.FaultDie, Until: time.Now().Add(resetSpan)}))
		}
	}
	return errors.Join(faults...)
}

// running returns the generations that the engines decode now.
func (b *endpoints) running() int {
	count := 0
	for _, g := range b.groups {
		for _, e := range g.engines {
			count += e.Truth().Running
		}
	}
	return count
}

// liveMemory returns the bytes of live heap objects and of stacks.
func liveMemory() uint64 {
	runtime.GC()
	runtime.GC() // a second time for what pools let go of
	samples := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() + samples[1].Value.Uint64()
}
