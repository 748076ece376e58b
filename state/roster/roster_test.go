package roster

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/position"
)

var (
	now     = time.Unix(1000, 0)
	address = netip.MustParseAddrPort("10.0.0.1:80")
)

// at returns a position of the first era.
func at(offset int64) position.Position { return position.Position{Era: 1, Offset: offset} }

// listed returns a change that lists an endpoint under the id.
func listed(id string, offset int64, leaving bool) Change {
	return Change{ID: id, Position: at(offset), Endpoint: &Endpoint{ID: id, Service: "s", Address: address, Leaving: leaving}}
}

// isGiven reports whether a notice has been given.
func isGiven(notice *Notice) bool {
	select {
	case <-notice.Done():
		return !notice.At().IsZero()
	default:
		return false
	}
}

func TestApply(t *testing.T) {
	t.Run("a notice closes the channel, and a stale update does not revoke it", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		is.True(table.Apply(listed("a", 1, false), now))
		_, notice, found := table.Lookup("s", address)
		is.True(found && !isGiven(notice))
		is.True(table.Apply(listed("a", 2, true), now))
		is.True(isGiven(notice))
		is.True(!table.Apply(listed("a", 1, false), now))
		is.True(table.List()[0].Leaving)
	})
	t.Run("a stale update does not bring back an endpoint that is gone", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(listed("a", 1, false), now)
		is.True(table.Apply(Change{ID: "a", Position: at(3)}, now))
		is.True(!table.Apply(listed("a", 2, false), now))
		is.Equal(len(table.List()), 0)
	})
	t.Run("a new start under the same id replaces the endpoint", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(listed("a", 1, false), now)
		_, former, _ := table.Lookup("s", address)
		again := listed("a", 2, false)
		again.Endpoint.Born = 7
		is.True(table.Apply(again, now))
		_, present, _ := table.Lookup("s", address)
		is.True(isGiven(former) && !isGiven(present))
	})
}

func TestOutage(t *testing.T) {
	const grace = 2 * time.Second
	t.Run("an endpoint missing from the list after an outage stays for the grace period", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(listed("a", 1, false), now)
		table.Replace(nil, at(5), grace, now)
		is.Equal(len(table.List()), 1)
		table.Expire(grace, now.Add(grace-1))
		is.Equal(len(table.List()), 1)
		table.Expire(grace, now.Add(grace))
		is.Equal(len(table.List()), 0)
	})
	t.Run("an endpoint listed again within the grace period stays", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(listed("a", 1, false), now)
		is.Equal(len(table.RemoveVanished([]Change{{ID: "a", Position: at(2)}}, at(2), now)), 0)
		table.Apply(listed("a", 3, false), now.Add(time.Second))
		table.Expire(grace, now.Add(10*time.Second))
		is.Equal(len(table.List()), 1)
	})
}

// Each subtest starts with nine listed engines, right after an outage of the endpoint list.
func TestRemoveVanished(t *testing.T) {
	now := time.Unix(1000, 0)
	nineListed := func() *Table {
		table := NewTable()
		for n := range 9 {
			table.Apply(listed(string(rune('a'+n)), int64(n+1), false), now)
		}
		return table
	}
	notice := func(table *Table, id string) *Notice {
		table.mutex.Lock()
		defer table.mutex.Unlock()
		return table.entries[id].notice
	}
	t.Run("a single vanished endpoint is removed at once", func(t *testing.T) {
		is := is.New(t)
		table := nineListed()
		noticed := notice(table, "c")
		is.Equal(len(table.RemoveVanished([]Change{{ID: "c", Position: at(20)}}, at(10), now)), 1)
		is.Equal(len(table.List()), 8)
		select {
		case <-noticed.Done():
		default:
			t.Fatal("notice channel is not closed")
		}
	})
	t.Run("many endpoints that vanish together stay until they expire", func(t *testing.T) {
		is := is.New(t)
		table := nineListed()
		var many []Change
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			many = append(many, Change{ID: id, Position: at(20)})
		}
		is.Equal(len(table.RemoveVanished(many, at(10), now)), 0)
		is.Equal(len(table.List()), 9)
		table.Apply(listed("a", 30, false), now.Add(time.Second))
		table.Expire(lapseWindow, now.Add(lapseWindow))
		is.Equal(len(table.List()), 5)
	})
	t.Run("many endpoints that wrote to the list after the outage are removed at once", func(t *testing.T) {
		is := is.New(t)
		table := nineListed()
		var many []Change
		for n, id := range []string{"a", "b", "c", "d", "e"} {
			table.Apply(listed(id, int64(12+n), false), now)
			many = append(many, Change{ID: id, Position: at(20)})
		}
		is.Equal(len(table.RemoveVanished(many, at(10), now)), 5)
	})
	t.Run("endpoints that vanish one after the other are counted together", func(t *testing.T) {
		is := is.New(t)
		table := nineListed()
		gone := 0
		for n, id := range []string{"a", "b", "c", "d", "e", "f"} {
			gone += len(table.RemoveVanished([]Change{{ID: id, Position: at(int64(20 + n))}}, at(10), now.Add(time.Duration(n)*50*time.Millisecond)))
		}
		is.True(gone*lapseDivisor <= 9)
	})
	t.Run("a single endpoint missing from a full list, read as the history is truncated, is removed at once", func(t *testing.T) {
		is := is.New(t)
		table := nineListed()
		var list []Change
		for n := range 8 {
			list = append(list, listed(string(rune('a'+n)), int64(n+1), false))
		}
		is.Equal(table.Replace(list, at(20), lapseWindow, now), []Change{{ID: "i", Position: at(20)}})
		is.Equal(len(table.List()), 8)
	})
}

func TestEndpointThatSaidItLeaves(t *testing.T) {
	now := time.Unix(1000, 0)
	address := netip.MustParseAddrPort("10.0.0.1:80")
	list := func(table *Table, offset int64, leaving bool) {
		endpoint := &Endpoint{ID: "e-1", Service: "desk", Address: address, Leaving: leaving}
		table.Apply(Change{ID: "e-1", Position: position.Position{Offset: offset}, Endpoint: endpoint}, now)
	}
	noticed := func(table *Table) bool {
		_, notice, _ := table.Lookup("desk", address)
		return !notice.At().IsZero()
	}
	t.Run("takes no work, whatever the list says", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		list(table, 1, false)
		is.True(table.SetLeavesSince("e-1", now))
		is.True(!table.SetLeavesSince("e-1", now))
		list(table, 2, false)
		is.True(!table.TakesWork(address))
		is.True(noticed(table))
		is.Equal(len(table.GoneOrLeaving()), 0) // the others learn of it for as long as it holds only
	})
	t.Run("has a new notice once it stays after all", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		list(table, 1, false)
		table.SetLeavesSince("e-1", now)
		is.True(table.SetLeavesSince("e-1", time.Time{}))
		is.True(table.TakesWork(address))
		is.True(!noticed(table))
	})
	t.Run("an endpoint that the list has as ready again has a new notice", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		list(table, 1, true)
		is.True(noticed(table))
		list(table, 2, false)
		is.True(!noticed(table))
	})
}

func TestEndpointThatSaysItIsCold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable()
	table.Apply(Change{ID: "e-1", Endpoint: &Endpoint{ID: "e-1", Address: netip.MustParseAddrPort("10.0.0.1:80")}}, now)
	until := now.Add(3 * time.Second)
	is.True(table.SetCold("e-1", until, now))
	is.True(!table.SetCold("e-1", until, now)) // known
	is.True(!table.SetCold("e-2", until, now))
	is.Equal(table.List()[0].ColdUntil, until)
}
