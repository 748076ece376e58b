package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/standin"
)

func TestConverge(t *testing.T) {
	is := is.New(t)
	r, err := Converge(t.Context(), Course{
		Instances: 4, PerSecond: 20, Span: 2 * time.Second, KillEvery: 800 * time.Millisecond, Seed: 5,
	})
	is.NoErr(err)
	t.Log(r)
	is.True(r.Held())
	is.True(r.Replaced > 0)
}

func TestPublishThroughFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault standin.Fault
	}{
		{"acknowledgementLost", standin.Fault{Kind: standin.FaultDropAnswer, Value: 1}},
		{"appendLost", standin.Fault{Kind: standin.FaultLose, Value: 1}},
		{"outage", standin.Fault{Kind: standin.FaultOutage}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, err := startFleet(t.Context(), 2, standin.RosterConfig{})
			is.NoErr(err)
			defer f.close()
			c.fault.Until = time.Now().Add(time.Second)
			is.NoErr(f.log.Fault(c.fault))
			offset, err := f.publish(t.Context(), 5, 100)
			is.NoErr(err)
			f.settle(t.Context())
			for _, n := range f.nodes {
				e, ok := n.table.View().Entry("entry5")
				is.True(ok)
				is.Equal(e.MaximumTokens, 100)
				is.Equal(n.table.View().Revision, offset)
			}
		})
	}
}
