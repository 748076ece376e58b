package standin

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"
)

// WeightStoreConfig says what a weight store is; a zero rate is no limit.
type WeightStoreConfig struct {
	Rate     float64 // pulls per second
	Burst    int     // pulls at once
	PullTime time.Duration
}

// Pull names the weights that an engine asks for.
type Pull struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// WeightStore is a stand-in of the platform's store of model weights.
type WeightStore struct {
	*server
	config     WeightStoreConfig
	limiter    *rate.Limiter
	storeMutex sync.Mutex
	pulls      map[Pull]int
	refused    int
}

// NewWeightStore makes a weight store that has all weights.
func NewWeightStore(config WeightStoreConfig) *WeightStore {
	s := &WeightStore{
		server: newServer(FaultDie, FaultStall, FaultSilence, FaultDropAnswer, FaultLose, FaultSlow, FaultOutage,
			FaultPause),
		config:  config,
		limiter: newLimiter(config.Rate, cmp.Or(config.Burst, 1)),
		pulls:   make(map[Pull]int),
	}
	s.losesRequests, s.holdsAnswers = true, true
	router := httprouter.New()
	router.POST("/pulls", s.servePull)
	router.GET("/pulls", s.serveCounts)
	s.handler = router
	return s
}

// Pulls returns how many pulls of the weights were granted.
func (s *WeightStore) Pulls(pull Pull) int {
	s.storeMutex.Lock()
	defer s.storeMutex.Unlock()
	return s.pulls[pull]
}

// Refused returns how many pulls the rate refused.
func (s *WeightStore) Refused() int {
	s.storeMutex.Lock()
	defer s.storeMutex.Unlock()
	return s.refused
}

func (s *WeightStore) servePull(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		refuse(w, http.StatusBadRequest, outcomeNotRun, "body: "+err.Error())
		return
	}
	var pull Pull
	if err := json.Unmarshal(body, &pull); err != nil {
		refuse(w, http.StatusBadRequest, outcomeNotRun, "body: "+err.Error())
		return
	}
	if pull.Model == "" {
		refuse(w, http.StatusBadRequest, outcomeNotRun, "model: must not be empty")
		return
	}
	if !s.grant(pull) {
		w.Header().Set(headerRetry, "1")
		refuse(w, http.StatusTooManyRequests, outcomeNotRun, "pull rate exceeded")
		return
	}
	if !s.delay(s.config.PullTime) {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, pull)
}

// grant counts the pull if the rate allows it.
func (s *WeightStore) grant(pull Pull) bool {
	s.storeMutex.Lock()
	defer s.storeMutex.Unlock()
	_, known := s.pulls[pull]
	if !known && len(s.pulls) >= maximumWeights || !s.limiter.Allow() {
		s.refused++
		return false
	}
	s.pulls[pull]++
	return true
}

// pullCount is one row of the answer to GET /pulls.
type pullCount struct {
	Pull
	Count int `json:"count"`
}

func (s *WeightStore) serveCounts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.storeMutex.Lock()
	counts := make([]pullCount, 0, len(s.pulls))
	for pull, count := range s.pulls {
		counts = append(counts, pullCount{pull, count})
	}
	refused := s.refused
	s.storeMutex.Unlock()
	slices.SortFunc(counts, func(a, b pullCount) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	reply(w, http.StatusOK, struct {
		Pulls   []pullCount `json:"pulls"`
		Refused int         `json:"refused"`
	}{counts, refused})
}
