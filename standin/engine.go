package standin

import (
	"cmp"
	"net/netip"
	"sync"
	"time"

	"dogwooddyke/standin/model"

	"github.com/julienschmidt/httprouter"
)

// EngineConfig says what an engine is; the zero value is an engine without a model.
type EngineConfig struct {
	Name        string // salts the texts of an engine that doesn't decode repeatably
	Entry       string
	Model       string // loaded at the start; empty: none
	Version     string
	Repeatable  bool // same version, seed and prompt give the same text as on other engines
	ChecksFence bool // refuses orders with an old fencing number
	Sizes       model.Config
	Lengths     model.Lengths
	LoadTime    time.Duration  // from the end of the pull until an ordered model is ready
	WeightStore netip.AddrPort // that models are pulled from; invalid: they need no pull
	Retention   time.Duration  // of finished generations
}

// Engine is a stand-in of a model engine; its mutex guards the model, the generations and the order.
type Engine struct {
	*server
	config      EngineConfig
	engineMutex sync.Mutex
	model       *model.Model
	generations map[string]*generation
	ended       []*generation // oldest first
	starts      *tally
	leaving     *tally // starts while the state was leaving
	past        model.Counters
	order       order
	fences      []uint64      // of the orders taken, oldest first
	loads       uint64        // loads begun; only the latest counts
	speed       float64       // without faults
	wake        chan struct{} // has room for one
}

// NewEngine makes an engine and starts its clock.
func NewEngine(config EngineConfig) *Engine {
	config.Retention = cmp.Or(config.Retention, defaultRetention)
	e := &Engine{
		server: newServer(FaultDie, FaultStall, FaultSilence, FaultDropAnswer, FaultLag, FaultSlow, FaultOutage,
			FaultPause, FaultDuplicate, FaultLose, FaultReorder, FaultForeign, FaultLimit, FaultLeave, FaultCrashOn),
		config:      config,
		model:       model.New(config.Sizes, time.Now()),
		generations: make(map[string]*generation),
		starts:      newTally(),
		leaving:     newTally(),
		order:       firstOrder(&config),
		wake:        make(chan struct{}, 1),
	}
	e.speed = e.model.Config().Speed
	e.onFault, e.onClear = e.applyFault, e.applyClear
	router := httprouter.New()
	router.POST("/v1/chat/completions", e.serveChat)
	router.POST("/v1/completions", e.servePlain)
	router.GET("/generations/:id", e.serveResume)
	router.DELETE("/generations/:id", e.serveCancel)
	router.GET("/load", e.serveLoad)
	router.GET("/cacheEvents", e.serveCacheEvents)
	router.GET("/orders", e.serveOrder)
	router.POST("/orders", e.takeOrder)
	e.handler = router
	e.tasks.Go(e.run)
	return e
}

// Starts returns how often a generation with the id was started.
func (e *Engine) Starts(id string) int { return e.starts.count(id) }

// StartedOnce reports whether no generation id was started twice.
func (e *Engine) StartedOnce() bool { return e.starts.doubles() == 0 }

// StartsWhileLeaving returns how many generations were started while the state was leaving.
func (e *Engine) StartsWhileLeaving() int { return e.leaving.total() }

// Counters returns what the engine has done since it was made, deaths included.
func (e *Engine) Counters() model.Counters {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	return sum(e.past, e.model.Counters())
}

// Preemptions returns how many sequences have lost their memory.
func (e *Engine) Preemptions() int { return e.Counters().Preemptions }

// StallTime returns the time that preempted generations waited for their next token, summed up.
func (e *Engine) StallTime() time.Duration { return e.Counters().StallTime }

// Truth returns the load without lag.
func (e *Engine) Truth() model.Load {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	return e.model.Truth(time.Now())
}

// run steps the model as time goes by.
func (e *Engine) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		next, busy := e.step()
		timer.Stop()
		if busy {
			timer.Reset(max(time.Until(next), minimumPace))
		}
		select {
		case <-timer.C:
		case <-e.wake:
		case <-e.closed:
			return
		}
	}
}

// step emits what is due and returns the time of the next step.
func (e *Engine) step() (time.Time, bool) {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	now := time.Now()
	for _, event := range e.model.Step(now) {
		if event.Kind == model.KindPreempted {
			continue
		}
		g := e.generations[event.Generation.ID]
		if e.crashesOn(g, now) {
			break
		}
		g.emitted = event.Index + 1
		if event.Kind == model.KindLast {
			g.ended = now
			e.ended = append(e.ended, g)
		}
		g.wake()
	}
	e.tune()
	e.sweep(now)
	return e.model.Next()
}

// sweep drops the finished generations whose retention is over.
func (e *Engine) sweep(now time.Time) {
	count := 0
	for count < len(e.ended) && e.ended[count].expired(now, e.config.Retention) {
		delete(e.generations, e.ended[count].model.ID)
		e.ended[count] = nil
		count++
	}
	e.ended = e.ended[count:]
}

// rouse lets run look at the model.
func (e *Engine) rouse() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func sum(a, b model.Counters) model.Counters {
	a.Started += b.Started
	a.Finished += b.Finished
	a.Cancelled += b.Cancelled
	a.Preemptions += b.Preemptions
	a.Steps += b.Steps
	a.Tokens += b.Tokens
	a.PrefillTokens += b.PrefillTokens
	a.CachedTokens += b.CachedTokens
	a.StallTime += b.StallTime
	return a
}
