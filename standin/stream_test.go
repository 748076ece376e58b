package standin

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// begin starts a streamed generation of the length.
func begin(e *Engine, id, length string) result {
	return call(e, http.MethodPost, "/v1/chat/completions", chat("tokens="+length, ""), headerGeneration, id)
}

func streamOf(t *testing.T, got result) ([]seen, bool) {
	t.Helper()
	return events(t, &http.Response{Body: io.NopCloser(bytes.NewReader(got.Body.Bytes()))})
}

// engineTest runs a test in a synctest bubble; a step of the engine takes a millisecond.
func engineTest(t *testing.T, name string, config EngineConfig, test func(t *testing.T, e *Engine)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, stopped(t, NewEngine(config))) })
	})
}

func TestPerturbations(t *testing.T) {
	for kind, want := range map[FaultKind][]int{
		FaultDuplicate: {0, 0, 1, 1, 2, 3},
		FaultLose:      {2, 3},
		FaultReorder:   {1, 0, 3, 2},
		FaultForeign:   {2, 3},
	} {
		engineTest(t, string(kind), fast(), func(t *testing.T, e *Engine) {
			is := is.New(t)
			is.NoErr(e.Fault(Fault{Kind: kind, Value: 2}))
			all, done := streamOf(t, begin(e, "g", "4"))
			is.True(done)
			own := []seen{}
			for _, event := range all {
				if event.Generation == "g" {
					own = append(own, event)
				}
			}
			is.Equal(indexes(own), want)
			is.Equal(len(all)-len(own) == 2, kind == FaultForeign)
			again, _ := streamOf(t, call(e, http.MethodGet, "/generations/g?from=0", ""))
			is.Equal(indexes(again), []int{0, 1, 2, 3}) // a generation's changes are used up
		})
	}
}

func TestEngineFaults(t *testing.T) {
	engineTest(t, "stall", fast(), func(t *testing.T, e *Engine) {
		is := is.New(t)
		is.NoErr(e.Fault(Fault{Kind: FaultStall, Until: in(time.Minute)}))
		var told struct{ Running int }
		time.AfterFunc(time.Second, func() { told = decode[struct{ Running int }](t, call(e, http.MethodGet, "/load", "")) })
		is.Equal(took(func() { begin(e, "g", "10") }), time.Minute+9*time.Millisecond)
		synctest.Wait()
		is.Equal(told.Running, 1) // answers while it stalls
	})
	engineTest(t, "stallCleared", fast(), func(t *testing.T, e *Engine) {
		is := is.New(t)
		is.NoErr(e.Fault(Fault{Kind: FaultStall, Until: in(time.Hour)}))
		time.AfterFunc(time.Second, e.ClearFaults)
		is.True(took(func() { begin(e, "g", "10") }) < 2*time.Second)
	})
	engineTest(t, "pause", fast(), func(t *testing.T, e *Engine) {
		is := is.New(t)
		time.AfterFunc(5*time.Millisecond, func() { _ = e.Fault(Fault{Kind: FaultPause, Until: in(time.Minute)}) })
		time.AfterFunc(time.Second, func() { is.Equal(took(func() { call(e, http.MethodGet, "/load", "") }) > 50*time.Second, true) })
		is.True(took(func() { begin(e, "g", "20") }) > time.Minute)
	})
	engineTest(t, "slow", fast(), func(t *testing.T, e *Engine) {
		is := is.New(t)
		plain := took(func() { begin(e, "g1", "100") })
		is.NoErr(e.Fault(Fault{Kind: FaultSlow, Value: 10, Until: in(time.Minute)}))
		is.True(took(func() { begin(e, "g2", "100") }) > 9*plain)
		time.Sleep(time.Minute)
		is.Equal(took(func() { begin(e, "g3", "100") }), plain)
	})
	engineTest(t, "lag", fast(), func(t *testing.T, e *Engine) {
		is := is.New(t)
		is.NoErr(e.Fault(Fault{Kind: FaultLag, Value: 5}))
		time.Sleep(10 * time.Second)
		var running []int
		for _, after := range []time.Duration{2 * time.Second, 7 * time.Second} {
			time.AfterFunc(after, func() {
				running = append(running, decode[struct{ Running int }](t, call(e, http.MethodGet, "/load", "")).Running)
			})
		}
		begin(e, "g", "9000")
		is.Equal(running, []int{0, 1})
	})
	engineTest(t, "outage", fast(), func(t *testing.T, e *Engine) {
		is.New(t).NoErr(e.Fault(Fault{Kind: FaultOutage}))
		assertNotRun(t, begin(e, "g", "3"), http.StatusServiceUnavailable)
		is.New(t).Equal(e.Starts("g"), 0)
	})
	engineTest(t, "dropAnswer", fast(), func(t *testing.T, e *Engine) {
		is := is.New(t)
		is.NoErr(e.Fault(Fault{Kind: FaultDropAnswer}))
		got := begin(e, "g", "3")
		is.True(got.cut)
		is.Equal(got.Body.Len(), 0)
		is.Equal(e.Starts("g"), 1)
		all, done := streamOf(t, call(e, http.MethodGet, "/generations/g?from=0", ""))
		is.True(done)
		is.Equal(len(all), 3)
	})
	engineTest(t, "leave", fast(), func(t *testing.T, e *Engine) {
		is := is.New(t)
		is.NoErr(e.Fault(Fault{Kind: FaultLeave}))
		is.Equal(decode[struct{ State State }](t, call(e, http.MethodGet, "/load", "")).State, StateLeaving)
		begin(e, "g", "3")
		is.Equal(e.StartsWhileLeaving(), 1)
	})
	engineTest(t, "dieTogetherWithStall", fast(), func(t *testing.T, e *Engine) {
		is := is.New(t)
		is.NoErr(e.Fault(Fault{Kind: FaultStall, Until: in(time.Minute)}))
		time.AfterFunc(time.Second, func() { _ = e.Fault(Fault{Kind: FaultDie, Until: in(time.Second)}) })
		is.True(begin(e, "g", "5").cut)
		time.Sleep(2 * time.Second)
		is.True(took(func() { begin(e, "g", "5") }) > 50*time.Second)
	})
}

func TestRetention(t *testing.T) {
	engineTest(t, "finished", fast(), func(t *testing.T, e *Engine) {
		is := is.New(t)
		begin(e, "g", "3")
		time.Sleep(defaultRetention)
		is.Equal(call(e, http.MethodGet, "/generations/g?from=3", "").Code, http.StatusOK)
		time.Sleep(time.Second)
		is.Equal(call(e, http.MethodGet, "/generations/g?from=0", "").Code, http.StatusNotFound)
	})
	engineTest(t, "cancelled", fast(), func(t *testing.T, e *Engine) {
		is := is.New(t)
		time.AfterFunc(10*time.Millisecond, func() {
			is.Equal(call(e, http.MethodDelete, "/generations/g", "").Code, http.StatusNoContent)
		})
		all, done := streamOf(t, begin(e, "g", "9000"))
		is.True(!done)
		is.True(len(all) < 20)
		is.Equal(e.Truth().UsedTokens, 0)
		is.Equal(call(e, http.MethodGet, "/generations/g?from=0", "").Code, http.StatusNotFound)
		is.Equal(begin(e, "g", "3").Code, http.StatusConflict) // a late start of a cancelled generation
		is.Equal(call(e, http.MethodDelete, "/generations/other", "").Code, http.StatusNoContent)
	})
}
