package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An engine is reclaimed whose generations are nearly done: where they go on, they are not to be taken for new ones.
func TestPlaceMovedRun(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	c := newCore(1, 8, 1<<20, at)
	for range 50 {
		groups := c.lengthTable.Groups((&Request{spec: &RequestSpec{Entry: "e"}}).lengthKey())
		groups.Passed(-1, 400)
		groups.Ended(400)
	}
	fresh := c.Place(&RequestSpec{Entry: "e", PromptTokens: 100}, at)
	moved := c.Place(&RequestSpec{Entry: "e", PromptTokens: 100, GeneratedTokens: 380}, at)
	is.True(fresh.Decision().ExpectedTokens > 300)
	is.True(moved.Decision().ExpectedTokens < 100)
	is.Equal(moved.endpoint.pendingPromptTokens(), fresh.promptTokens()) // the other's has been read
}
