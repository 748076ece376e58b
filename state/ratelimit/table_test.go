package ratelimit

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/process"
)

func TestApply(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	e := process.Of(address, "e-1", 5)
	start := time.Unix(1000, 0)
	named := func(rate float64, second int) News {
		return News{Endpoint: e, Limit: Limit{Named: true, PerSecond: rate}, At: start.Add(time.Duration(second) * time.Second)}
	}
	ended := func(second int) News { return News{Endpoint: e, At: start.Add(time.Duration(second) * time.Second)} }

	t.Run("the latest news count, and only a change is reported", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		is.True(!table.Apply(ended(1)))
		is.True(table.Apply(named(3, 2)))
		is.True(!table.Apply(named(3, 3)))
		is.True(table.Apply(named(2.5, 4)))
		is.Equal(table.Limit(e), Limit{Named: true, PerSecond: 2.5})
	})
	t.Run("an answer to a request that was sent before the limit was named does not end it", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(named(3, 2))
		is.True(!table.Apply(ended(2)))
		is.True(table.Limit(e).Named)
		is.True(table.Apply(ended(3)))
		is.True(!table.Limit(e).Named)
		is.True(!table.Apply(named(3, 2)))
	})
	t.Run("another start of the process at the address has no limit", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(named(3, 2))
		is.True(!table.Limit(process.Of(address, "e-1", 6)).Named)
		is.True(!table.Limit(process.Of(address, "e-2", 5)).Named)
	})
	t.Run("endpoints that are not retained are forgotten", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(named(3, 2))
		table.Retain(func(process.ID) bool { return true })
		is.Equal(len(table.Named()), 1)
		table.Retain(func(process.ID) bool { return false })
		is.Equal(len(table.Named()), 0)
	})
}
