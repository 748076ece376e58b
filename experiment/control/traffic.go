package control

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"dogwooddyke/experiment/capacity"
	"dogwooddyke/standin"
)

// Cost is what one instance spends on control.
type Cost struct {
	BytesPerSecond map[string]float64 `json:"bytesPerSecond"` // by kind, sent and received
	Processor      float64            `json:"processor"`      // part of a core, with the stand-ins' part
}

// measure runs a fleet at rest, or with changes, and returns the cost of one of its instances.
func measure(ctx context.Context, size int, perSecond float64, span time.Duration) (*Cost, error) {
	f, err := startFleet(ctx, size, standin.RosterConfig{})
	if err != nil {
		return nil, err
	}
	defer f.close()
	pause(ctx, warmUp)
	bytes, processor, start := f.bytes(), processorTime(), time.Now()
	for i := 1; time.Since(start) < span && ctx.Err() == nil; i++ {
		if perSecond == 0 {
			pause(ctx, span)
			break
		}
		if _, err := f.publish(ctx, i%entries, i); err != nil {
			return nil, err
		}
		pause(ctx, time.Duration(float64(time.Second)*float64(i)/perSecond)-time.Since(start))
	}
	seconds := time.Since(start).Seconds()
	cost := &Cost{BytesPerSecond: map[string]float64{}}
	cost.Processor = (processorTime() - processor).Seconds() / seconds / float64(size)
	for kind, after := range f.bytes() {
		cost.BytesPerSecond[kind] = float64(after-bytes[kind]) / seconds / float64(size)
	}
	return cost, ctx.Err()
}

func (f *fleet) bytes() map[string]int64 {
	all := map[string]int64{}
	for _, n := range f.nodes {
		for _, kind := range kinds {
			all[kind] += n.bytes(kind)
		}
	}
	return all
}

var kinds = []string{kindPeers, kindCatalogue, kindLeases, kindList}

// processorTime returns what this process has used, in user and kernel mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Probes returns one probe for each kind of traffic and one for the processor; they share their runs.
func Probes(sizes []int, perSecond float64, span time.Duration) []*capacity.Probe {
	type run struct {
		size int
		seed uint64
	}
	done := map[run]*Cost{}
	cost := func(ctx context.Context, size int, seed uint64) (*Cost, error) {
		key := run{size, seed}
		if c, ok := done[key]; ok {
			return c, nil
		}
		c, err := measure(ctx, size, perSecond, span)
		if err == nil {
			done[key] = c
		}
		return c, err
	}
	probe := func(name, unit string, value func(c *Cost) float64) *capacity.Probe {
		return &capacity.Probe{
			Name: fmt.Sprintf("%s, %g changes/s", name, perSecond), Item: "instance", Unit: unit, Source: "experiment/control", Sizes: sizes,
			Cost: func(ctx context.Context, size int, seed uint64) (float64, error) {
				c, err := cost(ctx, size, seed)
				if err != nil {
					return 0, err
				}
				return value(c), nil
			},
		}
	}
	probes := []*capacity.Probe{probe("processor", "% of a core", func(c *Cost) float64 { return 100 * c.Processor })}
	for _, k := range kinds {
		probes = append(probes, probe(k, "bytes/s", func(c *Cost) float64 { return c.BytesPerSecond[k] }))
	}
	return probes
}
