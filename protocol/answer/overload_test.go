package answer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

const (
	requestInterval = 20 * time.Millisecond // between two requests; an answer takes 50 times as long
	requestsBefore  = 300                   // requests sent before the failure
	requestsAfter   = 300                   // requests sent during and after the failure
)

// offerLoad sends requests at a fixed rate and returns the number of those that finished.
func (h *harness) offerLoad(t *testing.T, requests int) int {
	t.Helper()
	var group conc.WaitGroup
	results := make([]Result, requests)
	for i := range requests {
		group.Go(func() {
			request := h.request(false)
			request.ID = request.ID + string(rune('a'+i%26)) + time.Now().String()
			results[i] = h.runner.Run(context.Background(), request, &fakeSink{})
		})
		time.Sleep(requestInterval)
	}
	group.Wait()
	h.runner.Wait()
	finished := 0
	for _, r := range results {
		if r.Outcome == OutcomeFinished {
			finished++
		}
	}
	return finished
}

// TestRetryLoad checks that retries after failures add at most a tenth to the load of the engines, besides the initial retries.
func TestRetryLoad(t *testing.T) {
	t.Run("oneOfNineDies", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 9, true)
			h.router.roundRobin = true
			is.Equal(h.offerLoad(t, requestsBefore), requestsBefore)
			h.engines.kill(h.engines.engine(0))
			time.AfterFunc(time.Second, func() { h.engines.kill(h.engines.engine(1)) })
			finished, starts := h.offerLoad(t, requestsAfter), h.engines.starts()-requestsBefore
			is.Equal(finished, requestsAfter) // the answers are repeatable, so all of them are replayed or started again
			is.True(starts > requestsAfter)
			is.True(starts <= requestsAfter+requestsAfter/10+initialRetries)
		})
	})
	t.Run("allFail", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 9, true)
			h.router.roundRobin = true
			is.Equal(h.offerLoad(t, requestsBefore), requestsBefore)
			for i := range 9 {
				h.engines.engine(i).losesGenerations = true
			}
			before := h.engines.starts()
			is.Equal(h.offerLoad(t, requestsAfter), 0)
			starts := h.engines.starts() - before
			is.True(starts >= requestsAfter)
			is.True(starts <= requestsAfter+requestsAfter/10+initialRetries)
		})
	})
}
