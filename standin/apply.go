package standin

import (
	"strings"
	"time"

	"dogwooddyke/standin/model"
)

// applyFault brings a new fault to the model and the generations.
func (e *Engine) applyFault(fault Fault) {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	switch {
	case fault.perturbs():
		e.perturbAll(fault)
	case fault.Kind == FaultDie:
		e.lose()
	}
	e.tune()
	e.rouse()
}

func (e *Engine) perturbAll(fault Fault) {
	for _, g := range e.generations {
		if g.perturb == nil {
			g.perturb = make(map[FaultKind]int)
		}
		g.perturb[fault.Kind] = int(fault.Value)
	}
}

// applyClear ends what the faults did to the model and the generations.
func (e *Engine) applyClear() {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	for _, g := range e.generations {
		g.perturb = nil
	}
	e.model.Resume(time.Now())
	e.tune()
	e.rouse()
}

// tune sets the model's pause, speed and lag as the faults in force say.
func (e *Engine) tune() {
	for _, kind := range []FaultKind{FaultStall, FaultPause} {
		if fault, ok := e.faults.find(kind); ok {
			e.model.Pause(fault.Until)
		}
	}
	config := e.model.Config()
	speed := e.speed
	if slow, ok := e.faults.find(FaultSlow); ok {
		speed /= slow.Value
	}
	if config.Speed != speed {
		e.model.SetSpeed(speed)
	}
	load, events := e.config.Sizes.LoadLag, e.config.Sizes.CacheDelay
	if lag, ok := e.faults.find(FaultLag); ok {
		load = seconds(lag.Value)
		events = load
	}
	e.tuneRateLimit()
	if config.LoadLag != load || config.CacheDelay != events {
		e.model.SetLag(load, events)
	}
}

// crashesOn reports whether the engine crashes because of the generation's prompt, and has it die then.
func (e *Engine) crashesOn(g *generation, now time.Time) bool {
	fault, found := e.faults.find(FaultCrashOn)
	if !found || g.emitted != int(fault.Value) || !strings.Contains(g.prompt, fault.Text) {
		return false
	}
	e.crash(now)
	return true
}

// lose forgets everything, as a process that dies does; only what tests look at is kept.
func (e *Engine) lose() {
	e.past = sum(e.past, e.model.Counters())
	e.model = model.New(e.config.Sizes, time.Now())
	for _, g := range e.generations {
		g.gone = goneLost
		g.wake()
	}
	e.generations = make(map[string]*generation)
	e.ended = nil
	e.order = firstOrder(&e.config)
	e.loads++
}

// tuneRateLimit sets the limit that the model's load reports name.
func (e *Engine) tuneRateLimit() {
	now := time.Now()
	fault, limited := e.faults.find(FaultLimit)
	named := e.model.Truth(now).RateLimit
	switch {
	case limited && (named == nil || *named != fault.Value):
		e.model.SetRateLimit(&fault.Value, now)
	case !limited && named != nil:
		e.model.SetRateLimit(nil, now)
	}
}
