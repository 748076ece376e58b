package standin

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
)

// State is what an engine says of itself.
type State string

// The states of an engine.
const (
	StateReady   State = "ready"
	StateLoading State = "loading"
	StateEmpty   State = "empty"
	StateLeaving State = "leaving"
)

// Order is the state that an engine was told to take.
type Order struct {
	Fence    uint64   `json:"fence"`
	Entry    string   `json:"entry"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// order is the order in force and how far the engine is with it.
type order struct {
	Order
	State State `json:"state"`
}

func firstOrder(config *EngineConfig) order {
	first := order{State: StateEmpty}
	first.Entry, first.Model, first.Version = config.Entry, config.Model, config.Version
	first.Adapters = []string{}
	if config.Model != "" {
		first.State = StateReady
	}
	return first
}

// Order returns the order in force and the state.
func (e *Engine) Order() (Order, State) {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	now := e.present()
	return now.Order, now.State
}

// Orders returns the fencing numbers of the orders taken, oldest first, as far as they are kept.
func (e *Engine) Orders() []uint64 {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	return slices.Clone(e.fences)
}

func (e *Engine) isLeaving() bool {
	_, leaving := e.faults.find(FaultLeave)
	return leaving
}

// present returns the order with the state as it is told.
func (e *Engine) present() order {
	told := e.order
	if e.isLeaving() {
		told.State = StateLeaving
	}
	return told
}

func (e *Engine) serveOrder(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.engineMutex.Lock()
	told := e.present()
	e.engineMutex.Unlock()
	reply(w, http.StatusOK, told)
}

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		refuse(w, http.StatusBadRequest, outcomeNotRun, "body: "+err.Error())
		return
	}
	var asked Order
	if err := json.Unmarshal(body, &asked); err != nil {
		refuse(w, http.StatusBadRequest, outcomeNotRun, "body: "+err.Error())
		return
	}
	status, told := e.obey(asked)
	reply(w, status, told)
}

// obey takes the order unless its fencing number is old and checked.
func (e *Engine) obey(asked Order) (int, order) {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	if e.config.ChecksFence && asked.Fence < e.order.Fence {
		return http.StatusConflict, e.present()
	}
	if asked.Adapters == nil {
		asked.Adapters = []string{}
	}
	same := asked.Model == e.order.Model && asked.Version == e.order.Version
	e.order.Order = asked
	if len(e.fences) >= maximumOrders {
		e.fences = slices.Delete(e.fences, 0, 1)
	}
	e.fences = append(e.fences, asked.Fence)
	if !same {
		e.reload(asked)
	}
	return http.StatusOK, e.present()
}

// reload gives up the present model for new starts and loads the one asked for; generations in progress go on.
func (e *Engine) reload(asked Order) {
	e.loads++
	if asked.Model == "" {
		e.order.State = StateEmpty
		return
	}
	e.order.State = StateLoading
	load := e.loads
	e.background(func() { e.load(load, asked) })
}

func (e *Engine) load(load uint64, asked Order) {
	if e.config.WeightStore.IsValid() && !e.pull(load, asked) {
		return
	}
	if !sleep(time.Now().Add(e.config.LoadTime), nil, e.closed) {
		return
	}
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	if e.loads == load {
		e.order.State = StateReady
	}
}

// pull asks the weight store until it gives the weights; false when the load is out of date or the engine closes.
func (e *Engine) pull(load uint64, asked Order) bool {
	for e.wanted(load) {
		done, wait := requestPull(e.context, e.config.WeightStore, asked.Model, asked.Version)
		if done {
			return true
		}
		if !sleep(time.Now().Add(cmp.Or(wait, pullRetry)), nil, e.closed) {
			return false
		}
	}
	return false
}

func (e *Engine) wanted(load uint64) bool {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	return e.loads == load
}

// retryAfter reads the header in seconds; zero where it is missing.
func retryAfter(header http.Header) time.Duration {
	value, err := strconv.ParseFloat(header.Get(headerRetry), 64)
	if err != nil || value <= 0 || value > maximumLag {
		return 0
	}
	return seconds(value)
}
