package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/standin"
)

const shortQuestion = `{"model":"isoraklet","stream":true,"seed":7,"messages":[{"role":"user","content":"tokens=2 short"}]}`

// TestEngineLeaves has one of two engines say that it is leaving; its steward tells the other instance.
func TestEngineLeaves(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 0, 2)
	leaver := f.engines[0]
	ask := func() { readEvents(f.post(0, shortQuestion).Body, 1<<20) }
	is.NoErr(leaver.Fault(standin.Fault{Kind: standin.FaultLeave, Until: time.Now().Add(time.Hour)}))
	f.await("both instances know", func() bool {
		return f.instances[0].members.Leaving(f.enginesAt[0]) && f.instances[1].members.Leaving(f.enginesAt[0])
	})
	time.Sleep(2 * leavingInterval)
	for range 10 {
		ask()
	}
	is.Equal(leaver.StartsWhileLeaving(), 0)
}
