package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlaceMovedRun guards against treating a run that is moved from a reclaimed engine as a new one: its prompt has been processed and few
// tokens remain.
func TestPlaceMovedRun(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	c := newCore(1, 8, 1<<20, at)
	for range 50 {
		groups := c.lengthTable.Groups((&Request{spec: &RequestSpec{Entry: "e"}}).lengthKey())
		groups.Emitted(-1, 400)
		groups.Ended(400)
	}
	started := c.Place(&RequestSpec{Entry: "e", PromptTokens: 100}, at)
	moved := c.Place(&RequestSpec{Entry: "e", PromptTokens: 100, GeneratedTokens: 380}, at)
	is.True(started.Decision().ExpectedTokens > 300)
	is.True(moved.Decision().ExpectedTokens < 100)
	is.Equal(moved.endpoint.pendingPromptTokens(), started.promptTokens()) // the moved run's prompt doesn't count
}
