package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// An engine is reclaimed whose generations are nearly done: where they go on, they are not to be taken for new ones.
func TestPlaceMade(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	c := newCore(1, 8, 1<<20, at)
	for range 50 {
		groups := c.lengths.Groups((&Flight{ask: &Ask{Entry: "e"}}).lengthKey())
		groups.Emitted(-1, 400)
		groups.Ended(400)
	}
	begun := c.Place(&Ask{Entry: "e", PromptTokens: 100}, at)
	moved := c.Place(&Ask{Entry: "e", PromptTokens: 100, Made: 380}, at)
	is.True(begun.Decision().Length > 300)
	is.True(moved.Decision().Length < 100)
	is.Equal(moved.account.prompts(), begun.prompt()) // the other's has been read
}
