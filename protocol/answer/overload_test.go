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
	loadInterval = 20 * time.Millisecond // between requests; an answer takes 50 times as long
	loadBefore   = 300                   // requests before the failure
	loadAfter    = 300
)

// offer sends requests at a fixed rate and returns how many finished.
func (b *bench) offer(t *testing.T, requests int) int {
	t.Helper()
	var group conc.WaitGroup
	results := make([]Result, requests)
	for i := range requests {
		group.Go(func() {
			request := b.request(false)
			request.ID = request.ID + string(rune('a'+i%26)) + time.Now().String()
			results[i] = b.runner.Run(context.Background(), request, &fakeSink{})
		})
		time.Sleep(loadInterval)
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
			b := newBench(t, 9, true)
			b.router.rotates = true
			is.Equal(b.offer(t, loadBefore), loadBefore)
			b.engines.kill(b.engines.at(0))
			time.AfterFunc(time.Second, func() { b.engines.kill(b.engines.at(1)) })
			finished, starts := b.offer(t, loadAfter), b.engines.starts()-loadBefore
			is.Equal(finished, loadAfter) // repeatable: all are replayed or started anew
			is.True(starts > loadAfter)
			is.True(starts <= loadAfter+loadAfter/10+budgetInitial)
		})
	})
	t.Run("allFail", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, 9, true)
			b.router.rotates = true
			is.Equal(b.offer(t, loadBefore), loadBefore)
			for i := range 9 {
				b.engines.at(i).loses = true
			}
			before := b.engines.starts()
			is.Equal(b.offer(t, loadAfter), 0)
			starts := b.engines.starts() - before
			is.True(starts >= loadAfter)
			is.True(starts <= loadAfter+loadAfter/10+budgetInitial)
		})
	})
}
