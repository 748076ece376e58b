package bench

import (
	"container/heap"
	"strconv"
	"time"

	"dogwooddyke/standin/model"
)

// policy decides where jobs go; the driver calls it in synthetic time.
type policy interface {
	arrive(j *job)
	token(j *job)
	ended(j *job, cause cause) // on its engine
	tick(instance int)
	gaveUp(j *job) // its caller left before the first token; it is on no engine
}

// cause says why a job left its engine.
type cause int

const (
	causeFinished cause = iota
	causeCancelled
	causeLost // the engine died
)

// engine is one modelled engine.
type engine struct {
	model   *model.Model
	config  model.Config
	service int
	centre  string
	dead    bool
	jobs    map[*model.Generation]*job
	frozen  *model.Load
}

// driver runs one scenario in synthetic time.
type driver struct {
	scenario   *Scenario
	deployment *deployment
	start      time.Time
	now        time.Time
	engines    []*engine
	byService  [][]int
	policy     policy
	events     schedule
	sequence   int
	measure    *measure
	silent     []bool // instances that get no answers from stewards
	attempts   int
}

func newDriver(s *Scenario, d *deployment, start time.Time) *driver {
	r := &driver{scenario: s, deployment: d, start: start, now: start, silent: make([]bool, instanceCount)}
	r.byService = make([][]int, len(d.services))
	for i := range d.services {
		for n, config := range d.services[i].engines {
			config.LoadLag = s.Lag
			r.byService[i] = append(r.byService[i], len(r.engines))
			r.engines = append(r.engines, &engine{
				model:   model.New(config, start),
				config:  config,
				service: i,
				centre:  d.centres[n%len(d.centres)],
				jobs:    make(map[*model.Generation]*job),
			})
		}
	}
	r.measure = newMeasure(r)
	return r
}

// run plays the jobs to the end of the scenario.
func (r *driver) run(jobs []*job) {
	for _, j := range jobs {
		r.at(j.at, func() { r.arrive(j) })
	}
	for i := range instanceCount {
		r.every(time.Duration(i+1)*tickPeriod/instanceCount, tickPeriod, func() { r.policy.tick(i) })
	}
	r.plan(r.scenario.Fault)
	end := r.start.Add(r.scenario.Span)
	for {
		e, at := r.nextStep()
		if len(r.events) > 0 && (e == nil || !r.events[0].at.After(at)) {
			next, _ := heap.Pop(&r.events).(*event)
			if next.at.After(end) {
				return
			}
			r.now = next.at
			next.run()
			continue
		}
		if e == nil || at.After(end) {
			return
		}
		r.now = at
		r.step(e)
	}
}

func (r *driver) nextStep() (*engine, time.Time) {
	var first *engine
	var least time.Time
	for _, e := range r.engines {
		if at, busy := e.model.Next(); busy && !e.dead && (first == nil || at.Before(least)) {
			first, least = e, at
		}
	}
	return first, least
}

func (r *driver) arrive(j *job) {
	r.measure.arrived(j)
	r.at(j.deadline, func() { r.giveUp(j) })
	r.policy.arrive(j)
}

// giveUp lets the caller of a job without a first token leave.
func (r *driver) giveUp(j *job) {
	if j.delivered > 0 || j.refused != "" {
		return
	}
	j.gaveUp = true
	if j.engine < 0 {
		r.policy.gaveUp(j)
		return
	}
	e := r.engines[j.engine]
	e.model.Cancel(j.generation, r.now)
	delete(e.jobs, j.generation)
	j.engine = -1
	r.policy.ended(j, causeCancelled)
}

// dispatch starts a job on an engine and tells whether it was taken.
func (r *driver) dispatch(j *job, index int) bool {
	e := r.engines[index]
	if e.dead {
		return false
	}
	r.attempts++
	j.generation = &model.Generation{
		ID:       strconv.Itoa(r.attempts),
		Priority: r.deployment.services[j.service].classes[j.class].priority,
		Prompt:   j.prompt,
		Length:   j.length,
		Blocks:   j.blocks,
	}
	if err := e.model.Start(j.generation, r.now); err != nil {
		return false
	}
	e.jobs[j.generation] = j
	j.engine = index
	return true
}

// step completes one step of an engine.
func (r *driver) step(e *engine) {
	for _, ev := range e.model.Step(r.now) {
		j := e.jobs[ev.Generation]
		if ev.Kind == model.KindPreempted {
			r.measure.preempted()
			continue
		}
		if ev.Index == j.delivered {
			r.measure.token(j, r.now)
			j.delivered++
		}
		r.policy.token(j)
		if ev.Kind == model.KindLast {
			delete(e.jobs, ev.Generation)
			j.engine, j.finished = -1, true
			r.measure.finished(j)
			r.policy.ended(j, causeFinished)
		}
	}
}

// load gives an engine's lagging report.
func (r *driver) load(index int) model.Load {
	e := r.engines[index]
	if e.frozen != nil {
		return *e.frozen
	}
	return e.model.Load(r.now)
}

// plan sets the scenario's fault, from 40% to 70% of the run.
func (r *driver) plan(fault Fault) {
	from := r.start.Add(r.scenario.Span * 4 / 10)
	until := r.start.Add(r.scenario.Span * 7 / 10)
	switch fault {
	case FaultSlow:
		r.at(from, func() { r.each(func(e *engine, n, _ int) { r.slow(e, n, 0.25) }) })
		r.at(until, func() { r.each(func(e *engine, n, _ int) { r.slow(e, n, 1) }) })
	case FaultStale:
		r.at(from, func() { r.each(r.freeze) })
		r.at(until, func() { r.each(func(e *engine, _, _ int) { e.frozen = nil }) })
	case FaultHalf:
		r.at(from, func() { r.each(r.kill) })
		r.at(until, func() { r.each(func(e *engine, _, _ int) { e.dead = false }) })
	case FaultCut:
		r.at(from, func() { r.cut(true) })
		r.at(until, func() { r.cut(false) })
	case FaultNone, FaultNoisy:
	}
}

func (r *driver) slow(e *engine, n int, factor float64) {
	if n == 0 {
		e.model.SetSpeed(e.config.Speed * factor)
	}
}

func (r *driver) freeze(e *engine, n, _ int) {
	if n%2 == 0 {
		load := e.model.Load(r.now)
		e.frozen = &load
	}
}

// kill takes an engine away; its jobs are lost there and sent again.
func (r *driver) kill(e *engine, n, _ int) {
	if n%2 == 1 {
		return
	}
	e.dead = true
	lost := sortedJobs(e.jobs)
	e.jobs = make(map[*model.Generation]*job)
	e.model = model.New(e.config, r.now)
	for _, j := range lost {
		j.engine = -1
		r.policy.ended(j, causeLost)
	}
}

func (r *driver) cut(silent bool) {
	for i := range r.silent {
		r.silent[i] = silent && i%2 == 0
	}
}

// each calls the function for all engines with their place within the service.
func (r *driver) each(call func(e *engine, n, count int)) {
	for _, indexes := range r.byService {
		for n, index := range indexes {
			call(r.engines[index], n, len(indexes))
		}
	}
}
