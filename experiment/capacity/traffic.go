package capacity

import (
	"context"

	"dogwooddyke/experiment/demo"
)

// slowRepetitions is how often probes go through their sizes that take seconds for each.
const slowRepetitions = 3

// Shape of the measurements that run whole instances.
const (
	workSeconds   = 1.5
	workRate      = 50.0 // requests/s
	workTokens    = 20
	idleSeconds   = 3.0
	idleEngines   = 4
	idleInstances = 2
)

func trafficProbes() []Probe {
	m := make(memo)
	instances, engines := []int{1, 2, 4, 8}, []int{2, 4, 8, 16}
	return []Probe{
		{Name: "requestTime", Item: "request/s of 20 tokens for 1.5 s, at the instance", Unit: "µs", Source: "instance", Sizes: []int{50, 100, 150, 200}, Repetitions: slowRepetitions, Cost: requestTime},
		{Name: "tokenTime", Item: "token of each of about 75 answers, at the instance", Unit: "µs", Source: "instance", Sizes: []int{10, 40, 70, 100}, Repetitions: slowRepetitions, Cost: tokenTime},
		{Name: "streamMemory", Item: "open answer at an instance", Unit: "bytes", Source: "instance", Sizes: []int{100, 200, 300, 400}, Repetitions: slowRepetitions, Cost: streamMemory},
		idleProbe("idleTime", "instance idle for 1 s beside 4 engines, stand-ins included", "µs", instances, m.byInstances(idleTime)),
		idleProbe("idleBytes", "instance idle for 1 s beside 4 engines, between peers", "bytes", instances, m.byInstances(idleBytes)),
		idleProbe("idleLogBytes", "instance idle for 1 s, reads of the log", "bytes", instances, m.byInstances(logBytes)),
		idleProbe("idleEngineTime", "engine beside 2 idle instances for 1 s, stand-ins included", "µs", engines, m.byEngines(idleTime)),
		idleProbe("idleEngineBytes", "engine beside 2 idle instances for 1 s, between peers", "bytes", engines, m.byEngines(idleBytes)),
		idleProbe("idleLoadBytes", "engine for 1 s, load reports to its steward", "bytes", engines, m.byEngines(loadBytes)),
		idleProbe("idleCacheBytes", "engine for 1 s, cache events to 2 instances", "bytes", engines, m.byEngines(cacheBytes)),
	}
}

func idleProbe(name, item, unit string, sizes []int, cost func(context.Context, int, uint64) (float64, error)) Probe {
	return Probe{Name: name, Item: item, Unit: unit, Source: "instance", Sizes: sizes, Repetitions: slowRepetitions, Cost: cost}
}

func requestTime(ctx context.Context, size int, seed uint64) (float64, error) {
	return demo.MeasureWork(ctx, &demo.Work{Rate: float64(size), Seconds: workSeconds, Tokens: workTokens, Seed: seed})
}

func tokenTime(ctx context.Context, size int, seed uint64) (float64, error) {
	return demo.MeasureWork(ctx, &demo.Work{Rate: workRate, Seconds: workSeconds, Tokens: size, Seed: seed})
}

func streamMemory(ctx context.Context, size int, seed uint64) (float64, error) {
	m, err := demo.MeasureMemory(ctx, size, seed, quiet())
	if err != nil {
		return 0, err
	}
	return float64(m.Added()), nil
}

// memo keeps what idle fleets cost, so that time and bytes come from the same runs.
type memo map[memoKey]demo.Idle

type memoKey struct {
	instances, engines int
	seed               uint64
}

func (m memo) idle(ctx context.Context, instances, engines int, seed uint64) (demo.Idle, error) {
	key := memoKey{instances, engines, seed}
	if known, ok := m[key]; ok {
		return known, nil
	}
	measured, err := demo.MeasureIdle(ctx, instances, engines, idleSeconds)
	m[key] = measured
	return measured, err
}

// byInstances measures one part of what idle fleets of so many instances cost.
func (m memo) byInstances(part func(demo.Idle) float64) func(context.Context, int, uint64) (float64, error) {
	return func(ctx context.Context, size int, seed uint64) (float64, error) {
		i, err := m.idle(ctx, size, idleEngines, seed)
		return part(i), err
	}
}

// byEngines measures one part of what an idle fleet before so many engines costs.
func (m memo) byEngines(part func(demo.Idle) float64) func(context.Context, int, uint64) (float64, error) {
	return func(ctx context.Context, size int, seed uint64) (float64, error) {
		i, err := m.idle(ctx, idleInstances, size, seed)
		return part(i), err
	}
}

func idleTime(i demo.Idle) float64   { return i.Microseconds }
func idleBytes(i demo.Idle) float64  { return i.Bytes }
func loadBytes(i demo.Idle) float64  { return i.Loads }
func cacheBytes(i demo.Idle) float64 { return i.Caches }
func logBytes(i demo.Idle) float64   { return i.Log }
