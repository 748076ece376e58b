package standin

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dogwooddyke/standin/model"
	"dogwooddyke/state/endpoint"

	"github.com/matryer/is"
)

func give(e *Engine, fence int, version string) result {
	body := fmt.Sprintf(`{"fence":%d,"entry":"isoraklet","model":"ice","version":%q,"role":"serve"}`, fence, version)
	return call(e, http.MethodPost, "/orders", body)
}

func TestOrders(t *testing.T) {
	checking, ignoring := fast(), fast()
	checking.ChecksFence, checking.LoadTime, ignoring.LoadTime = true, time.Minute, time.Minute
	engineTest(t, "checked", checking, func(t *testing.T, e *Engine) {
		is := is.New(t)
		is.Equal(give(e, 7, "1").Code, http.StatusOK)
		got := give(e, 6, "2")
		is.Equal(got.Code, http.StatusConflict)
		is.Equal(decode[order](t, got).Version, "1")
		is.Equal(give(e, 7, "1").Code, http.StatusOK) // a repeat
		is.Equal(e.Orders(), []uint64{7, 7})
	})
	engineTest(t, "ignored", ignoring, func(t *testing.T, e *Engine) {
		is := is.New(t)
		give(e, 7, "1")
		is.Equal(give(e, 6, "2").Code, http.StatusOK)
		is.Equal(decode[order](t, call(e, http.MethodGet, "/orders", "")).Fence, uint64(6))
	})
	engineTest(t, "load", checking, func(t *testing.T, e *Engine) {
		is := is.New(t)
		var running result
		time.AfterFunc(time.Second, func() { give(e, 1, "2") })
		time.AfterFunc(2*time.Second, func() { assertNotRun(t, begin(e, "g2", "3"), http.StatusServiceUnavailable) })
		running = begin(e, "g1", "9000")
		_, done := streamOf(t, running)
		is.True(done) // a generation in progress goes on
		_, state := e.Order()
		is.Equal(state, StateLoading)
		give(e, 2, "3") // the first load no longer counts
		time.Sleep(59 * time.Second)
		_, state = e.Order()
		is.Equal(state, StateLoading)
		time.Sleep(2 * time.Second)
		_, state = e.Order()
		is.Equal(state, StateReady)
		is.True(strings.Contains(begin(e, "g3", "1").Body.String(), NewText("3", 7, "tokens=1", "").Token(0)))
	})
	engineTest(t, "empty", EngineConfig{}, func(t *testing.T, e *Engine) {
		assertNotRun(t, begin(e, "g", "3"), http.StatusServiceUnavailable)
	})
}

func TestPull(t *testing.T) {
	is := is.New(t)
	store := stopped(t, NewWeightStore(WeightStoreConfig{}))
	address, err := store.Listen(anyPort)
	is.NoErr(err)
	is.NoErr(store.Fault(Fault{Kind: FaultLose, Value: 1}))
	config := fast()
	config.WeightStore = address
	e := stopped(t, NewEngine(config))
	give(e, 1, "2")
	for {
		if _, state := e.Order(); state == StateReady {
			break
		}
		time.Sleep(time.Millisecond)
	}
	is.Equal(store.Pulls(Pull{"ice", "2"}), 1)
}

func TestCacheEvents(t *testing.T) {
	config := fast()
	config.Sizes.CacheDelay, config.Sizes.CacheBlocks = 5*time.Second, 2
	engineTest(t, "late", config, func(t *testing.T, e *Engine) {
		is := is.New(t)
		prompt := strings.Repeat("ab", 3*endpoint.BlockBytes/2) + "tokens=1"
		call(e, http.MethodPost, "/v1/completions", `{"prompt":"`+prompt+`"}`)
		ask := func(after int) (told struct {
			Next   uint64
			Events []cacheEvent
		},
		) {
			told = decode[struct {
				Next   uint64
				Events []cacheEvent
			}](t, call(e, http.MethodGet, fmt.Sprint("/cacheEvents?after=", after), ""))
			return told
		}
		is.Equal(len(ask(0).Events), 0)
		time.Sleep(5 * time.Second)
		first := endpoint.BlockName(endpoint.Blocks(prompt)[0])
		told := ask(0)
		is.Equal(told.Next, uint64(4))
		is.Equal(told.Events[0], cacheEvent{1, "stored", first})
		is.Equal(told.Events[2], cacheEvent{3, "evicted", first})
		is.Equal(len(ask(4).Events), 0)
	})
}

func TestPreemptedStreams(t *testing.T) {
	config := fast()
	config.Sizes.Capacity = 300
	engineTest(t, "contiguous", config, func(t *testing.T, e *Engine) {
		is := is.New(t)
		results := make(chan result, 4)
		for i := range 4 {
			time.AfterFunc(0, func() { results <- begin(e, fmt.Sprint("g", i), "100") })
		}
		for range 4 {
			all, done := streamOf(t, <-results)
			is.True(done)
			is.Equal(len(all), 100)
			for i, index := range indexes(all) {
				is.Equal(i, index)
			}
		}
		synctest.Wait()
		is.True(e.Preemptions() > 0)
		is.True(e.StallTime() > 0)
		is.True(e.StartedOnce())
		is.Equal(e.Truth(), model.Load{At: time.Now(), CapacityTokens: 300, Preemptions: e.Preemptions()})
	})
}
