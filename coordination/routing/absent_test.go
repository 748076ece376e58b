package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Of nine engines six vanish one after the other while the list of them can't be read: they seem idle, so requests go there.
func TestAbsent(t *testing.T) {
	failures := func(outcome Outcome) (count int) {
		at := time.Unix(1000, 0)
		c := newCore(9, 8, 1<<20, at)
		gone := 0
		var running []*Request
		for n := range 200 {
			if n%20 == 19 && gone < 6 {
				gone++
			}
			at = at.Add(20 * time.Millisecond)
			if len(running) > 20 {
				c.RecordToken(running[0], at)
				c.Release(running[0], OutcomeFinished, at)
				running = running[1:]
			}
			ask := RequestSpec{Entry: "e", Workspace: "w", PromptTokens: 10}
			for {
				f := c.Submit(&ask, at)
				c.Admit(at)
				if !f.Running() {
					t.Fatal("a request waits though engines are idle")
				}
				if f.Endpoint().Compare(address(gone)) > 0 {
					running = append(running, f)
					break
				}
				count++
				ask.Exclude = append(ask.Exclude, f.Endpoint())
				c.Release(f, outcome, at)
			}
		}
		return count
	}
	is := is.New(t)
	plain, own := failures(OutcomeRefused), failures(OutcomeUnreachable)
	t.Logf("%d failures, plainly %d", own, plain)
	is.True(own <= 6*2) // each at its end, and once more 3 s later
	is.True(own*4 < plain)
}
