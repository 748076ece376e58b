package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/position"
)

// Each subtest starts with an endpoint of the first era at offset 9. Then the log is restored from a copy in which the endpoint is ready.
func TestRestoredLog(t *testing.T) {
	const grace = 2 * time.Second
	restored := func(offset int64) position.Position { return position.Position{Era: 2, Offset: offset} }
	inEra := func(c Change, era int64) Change {
		c.Era = era
		return c
	}
	copied := []Change{inEra(listed("a", 3, false), 2)}
	// nineAndEight returns a table of nine endpoints, and a list of the new era that lacks one of them.
	nineAndEight := func() (*Table, []Change) {
		table := NewTable()
		var list []Change
		for n := range 9 {
			c := listed(string(rune('a'+n)), int64(n+1), false)
			table.Apply(c, now)
			list = append(list, inEra(c, 2))
		}
		return table, list[:8]
	}
	t.Run("a notice at an offset that was used before is applied", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(listed("a", 9, false), now)
		is.True(table.Apply(inEra(listed("a", 5, true), 2), now))
		is.True(table.List()[0].Leaving)
		is.Equal(table.Latest(), restored(5))
	})
	t.Run("the copy does not revoke a notice", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(listed("a", 9, true), now)
		table.Replace(copied, restored(4), grace, now)
		is.True(table.List()[0].Leaving)
	})
	t.Run("the copy does not bring back an endpoint that is gone, but its next heartbeat does", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(listed("a", 8, false), now)
		table.Apply(Change{ID: "a", Position: at(9)}, now)
		table.Replace(copied, restored(4), grace, now)
		is.Equal(len(table.List()), 0)
		is.True(table.Apply(inEra(listed("a", 4, false), 2), now))
		is.Equal(len(table.List()), 1)
	})
	t.Run("the copy does not bring back an earlier start", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		again := listed("a", 9, false)
		again.Endpoint.Born = 7
		table.Apply(again, now)
		table.Replace(copied, restored(4), grace, now)
		is.Equal(table.List()[0].Born, int64(7))
	})
	t.Run("a single endpoint that the copy lacks stays for the grace period", func(t *testing.T) {
		is := is.New(t)
		table, list := nineAndEight()
		is.Equal(len(table.Replace(list, restored(8), grace, now)), 0)
		is.Equal(table.MissingCount(), 1)
		table.Expire(grace, now.Add(grace-1))
		is.Equal(len(table.List()), 9)
		table.Expire(grace, now.Add(grace))
		is.Equal(len(table.List()), 8)
	})
	t.Run("a single endpoint that is older than any copy is removed at once", func(t *testing.T) {
		is := is.New(t)
		table, list := nineAndEight()
		is.Equal(len(table.Replace(list, restored(8), grace, now.Add(maximumCopyAge))), 1)
		is.Equal(len(table.List()), 8)
	})
	t.Run("an endpoint that the copy lacks stays once it has written again", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(listed("a", 9, false), now)
		table.Replace(nil, restored(2), grace, now)
		table.Apply(inEra(listed("a", 2, false), 2), now.Add(time.Second))
		table.Expire(grace, now.Add(10*time.Second))
		is.Equal(len(table.List()), 1)
	})
	t.Run("a list of the new era is news for instances that have not read it", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(listed("a", 9, false), now)
		known := table.Latest()
		table.Replace(copied, restored(4), grace, now)
		is.True(known.Before(table.Latest()))
	})
}
