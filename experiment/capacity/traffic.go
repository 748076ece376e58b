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
	return []Probe{
		{Name: "requestTime", Item: "request/s of 20 tokens for 1.5 s, at the instance", Unit: "µs", Source: "instance", Sizes: []int{50, 100, 150, 200}, Repetitions: slowRepetitions, Cost: requestTime},
		{Name: "tokenTime", Item: "token of each of about 75 answers, at the instance", Unit: "µs", Source: "instance", Sizes: []int{10, 40, 70, 100}, Repetitions: slowRepetitions, Cost: tokenTime},
		{Name: "streamMemory", Item: "open answer at an instance", Unit: "bytes", Source: "instance", Sizes: []int{100, 200, 300, 400}, Repetitions: slowRepetitions, Cost: streamMemory},
		{Name: "idleTime", Item: "instance idle for 1 s beside 4 engines, stand-ins included", Unit: "µs", Source: "instance", Sizes: []int{1, 2, 4, 8}, Repetitions: slowRepetitions, Cost: m.instanceTime},
		{Name: "idleBytes", Item: "instance idle for 1 s beside 4 engines, to and from peers", Unit: "bytes", Source: "instance", Sizes: []int{1, 2, 4, 8}, Repetitions: slowRepetitions, Cost: m.instanceBytes},
		{Name: "idleEngineTime", Item: "engine beside 2 idle instances for 1 s, stand-ins included", Unit: "µs", Source: "instance", Sizes: []int{2, 4, 8, 16}, Repetitions: slowRepetitions, Cost: m.engineTime},
		{Name: "idleEngineBytes", Item: "engine beside 2 idle instances for 1 s, between peers", Unit: "bytes", Source: "instance", Sizes: []int{2, 4, 8, 16}, Repetitions: slowRepetitions, Cost: m.engineBytes},
	}
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

func (m memo) instanceTime(ctx context.Context, size int, seed uint64) (float64, error) {
	i, err := m.idle(ctx, size, idleEngines, seed)
	return i.Microseconds, err
}

func (m memo) instanceBytes(ctx context.Context, size int, seed uint64) (float64, error) {
	i, err := m.idle(ctx, size, idleEngines, seed)
	return i.Bytes, err
}

func (m memo) engineTime(ctx context.Context, size int, seed uint64) (float64, error) {
	i, err := m.idle(ctx, idleInstances, size, seed)
	return i.Microseconds, err
}

func (m memo) engineBytes(ctx context.Context, size int, seed uint64) (float64, error) {
	i, err := m.idle(ctx, idleInstances, size, seed)
	return i.Bytes, err
}
