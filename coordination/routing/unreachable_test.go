package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnreachable stops six of nine engines one after another while the endpoint list can't be read. The stopped engines appear idle and
// attract requests, so each failure must eject its engine.
func TestUnreachable(t *testing.T) {
	failures := func(outcome Outcome) (count int) {
		at := time.Unix(1000, 0)
		c := newCore(9, 8, 1<<20, at)
		stopped := 0
		var running []*Request
		for n := range 200 {
			if n%20 == 19 && stopped < 6 {
				stopped++
			}
			at = at.Add(20 * time.Millisecond)
			if len(running) > 20 {
				c.RecordToken(running[0], at)
				c.Release(running[0], OutcomeFinished, at)
				running = running[1:]
			}
			spec := RequestSpec{Entry: "e", Workspace: "w", PromptTokens: 10}
			for {
				r := c.Submit(&spec, at)
				c.Admit(at)
				if !r.Running() {
					t.Fatal("request is queued although engines are idle")
				}
				if r.Endpoint().Compare(address(stopped)) > 0 {
					running = append(running, r)
					break
				}
				count++
				spec.Exclude = append(spec.Exclude, r.Endpoint())
				c.Release(r, outcome, at)
			}
		}
		return count
	}
	is := is.New(t)
	baseline, measured := failures(OutcomeRefused), failures(OutcomeUnreachable)
	t.Logf("%d failures, baseline %d", measured, baseline)
	is.True(measured <= 6*2) // one when the engine stops and one for a probe 3 s later
	is.True(measured*4 < baseline)
}
