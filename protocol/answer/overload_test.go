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
	requestInterval = 20 * time.Millisecond // between requests; an answer takes 50 times as long
	requestsBefore  = 300                   // requests before the failure
	requestsAfter   = 300
)

// offerLoad sends requests at a fixed rate and returns how many finished.
func (b *harness) offerLoad(t *testing.T, requests int) int {
	t.Helper()
	var group conc.WaitGroup
	results := make([]Result, requests)
	for i := range requests {
		group.Go(func() {
			request := b.request(false)
			request.ID = request.ID + string(rune('a'+i%26)) + time.Now().String()
			results[i] = b.runner.Run(context.Background(), request, &fakeSink{})
		})
		time.Sleep(requestInterval)
	}
	group.Wait()
	b.runner.Wait()
	finished := 0
	for _, r := range results {
		if r.Outcome == OutcomeFinished {
			finished++
		}
	}
	return finished
}

// TestRetryLoad checks what failures add to the load of the engines: at most a tenth, beside the first few.
func TestRetryLoad(t *testing.T) {
	t.Run("oneOfNineDies", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 9, true)
			b.router.roundRobin = true
			is.Equal(b.offerLoad(t, requestsBefore), requestsBefore)
			b.engines.kill(b.engines.engine(0))
			time.AfterFunc(time.Second, func() { b.engines.kill(b.engines.engine(1)) })
			finished, starts := b.offerLoad(t, requestsAfter), b.engines.starts()-requestsBefore
			is.Equal(finished, requestsAfter) // repeatable: all are replayed or started anew
			is.True(starts > requestsAfter)
			is.True(starts <= requestsAfter+requestsAfter/10+initialRetries)
		})
	})
	t.Run("allFail", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 9, true)
			b.router.roundRobin = true
			is.Equal(b.offerLoad(t, requestsBefore), requestsBefore)
			for i := range 9 {
				b.engines.engine(i).losesGenerations = true
			}
			before := b.engines.starts()
			is.Equal(b.offerLoad(t, requestsAfter), 0)
			starts := b.engines.starts() - before
			is.True(starts >= requestsAfter)
			is.True(starts <= requestsAfter+requestsAfter/10+initialRetries)
		})
	})
}
