package standin

import (
	"net/http"
	"strconv"
	"time"

	"dogwooddyke/standin/model"
	"dogwooddyke/state/endpoint"

	"github.com/julienschmidt/httprouter"
)

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.engineMutex.Lock()
	e.tune()
	load := e.model.Load(time.Now())
	told := e.present()
	e.engineMutex.Unlock()
	reply(w, http.StatusOK, struct {
		At             time.Time `json:"at"`
		Running        int       `json:"running"`
		Waiting        int       `json:"waiting"`
		UsedTokens     int       `json:"usedTokens"`
		CapacityTokens int       `json:"capacityTokens"`
		Preemptions    int       `json:"preemptions"`
		State          State     `json:"state"`
		Model          string    `json:"model"`
		Version        string    `json:"version"`
		RateLimit      *float64  `json:"requestsPerSecond,omitempty"`
	}{
		load.At, load.Running, load.Waiting, load.UsedTokens, load.CapacityTokens, load.Preemptions,
		told.State, told.Model, told.Version, load.RateLimit,
	})
}

// cacheEvent is one event as it is told.
type cacheEvent struct {
	Sequence uint64 `json:"seq"`
	Kind     string `json:"kind"`
	Block    string `json:"block"`
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			refuse(w, http.StatusBadRequest, outcomeNotRun, "after: not a whole number from 0")
			return
		}
		after = parsed
	}
	e.engineMutex.Lock()
	e.tune()
	events := e.model.CacheEvents(after, time.Now())
	e.engineMutex.Unlock()
	next, told := tellCacheEvents(after, events)
	reply(w, http.StatusOK, struct {
		Next   uint64       `json:"next"`
		Events []cacheEvent `json:"events"`
	}{next, told})
}

// tellCacheEvents returns the events in the form of the wire and the number to ask after next.
func tellCacheEvents(after uint64, events []model.CacheEvent) (uint64, []cacheEvent) {
	events = events[:min(len(events), maximumEvents)]
	told := make([]cacheEvent, 0, len(events))
	for _, event := range events {
		kind := "evicted"
		if event.Stored {
			kind = "stored"
		}
		told = append(told, cacheEvent{event.Sequence, kind, endpoint.BlockName(event.Block)})
		after = event.Sequence
	}
	return after, told
}
