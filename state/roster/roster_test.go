package roster

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	now     = time.Unix(1000, 0)
	address = netip.MustParseAddrPort("10.0.0.1:80")
)

func at(id string, offset int64, leaving bool) Change {
	return Change{ID: id, Offset: offset, Endpoint: &Endpoint{ID: id, Service: "s", Address: address, Leaving: leaving}}
}

func closed(notice <-chan struct{}) bool {
	select {
	case <-notice:
		return true
	default:
		return false
	}
}

func TestApply(t *testing.T) {
	t.Run("a notice is heard once, and late news does not take it back", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		is.True(table.Apply(at("a", 1, false), now))
		_, notice, found := table.Lookup("s", address)
		is.True(found && !closed(notice))
		is.True(table.Apply(at("a", 2, true), now))
		is.True(closed(notice))
		is.True(!table.Apply(at("a", 1, false), now))
		is.True(table.List()[0].Leaving)
	})
	t.Run("an endpoint that is gone does not come back by older news", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(at("a", 1, false), now)
		is.True(table.Apply(Change{ID: "a", Offset: 3}, now))
		is.True(!table.Apply(at("a", 2, false), now))
		is.Equal(len(table.List()), 0)
	})
	t.Run("a start under an old id is another endpoint", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(at("a", 1, false), now)
		_, former, _ := table.Lookup("s", address)
		again := at("a", 2, false)
		again.Endpoint.Born = 7
		is.True(table.Apply(again, now))
		_, present, _ := table.Lookup("s", address)
		is.True(closed(former) && !closed(present))
	})
}

func TestOutage(t *testing.T) {
	const grace = 2 * time.Second
	t.Run("who is missing right after an outage stays for the grace period", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(at("a", 1, false), now)
		table.Replace(nil, 5, grace, now)
		is.Equal(len(table.List()), 1)
		table.Expire(grace, now.Add(grace-1))
		is.Equal(len(table.List()), 1)
		table.Expire(grace, now.Add(grace))
		is.Equal(len(table.List()), 0)
	})
	t.Run("who is back in time stays", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(at("a", 1, false), now)
		is.Equal(len(table.RemoveVanished([]Change{{ID: "a", Offset: 2}}, 2, now)), 0)
		table.Apply(at("a", 3, false), now.Add(time.Second))
		table.Expire(grace, now.Add(10*time.Second))
		is.Equal(len(table.List()), 1)
	})
}

// Nine engines are listed, and the list has just been away.
func TestLose(t *testing.T) {
	now := time.Unix(1000, 0)
	full := func() *Table {
		table := NewTable()
		for n := range 9 {
			table.Apply(at(string(rune('a'+n)), int64(n+1), false), now)
		}
		return table
	}
	notice := func(table *Table, id string) <-chan struct{} {
		table.mutex.Lock()
		defer table.mutex.Unlock()
		return table.entries[id].notice
	}
	t.Run("one that is reclaimed is told at once", func(t *testing.T) {
		is := is.New(t)
		table := full()
		told := notice(table, "c")
		is.Equal(len(table.RemoveVanished([]Change{{ID: "c", Offset: 20}}, 10, now)), 1)
		is.Equal(len(table.List()), 8)
		select {
		case <-told:
		default:
			t.Fatal("no notice")
		}
	})
	t.Run("many have lapsed", func(t *testing.T) {
		is := is.New(t)
		table := full()
		var many []Change
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			many = append(many, Change{ID: id, Offset: 20})
		}
		is.Equal(len(table.RemoveVanished(many, 10, now)), 0)
		is.Equal(len(table.List()), 9)
		table.Apply(at("a", 30, false), now.Add(time.Second))
		table.Expire(lapseWindow, now.Add(lapseWindow))
		is.Equal(len(table.List()), 5)
	})
	t.Run("many that have written since", func(t *testing.T) {
		is := is.New(t)
		table := full()
		var many []Change
		for n, id := range []string{"a", "b", "c", "d", "e"} {
			table.Apply(at(id, int64(12+n), false), now)
			many = append(many, Change{ID: id, Offset: 20})
		}
		is.Equal(len(table.RemoveVanished(many, 10, now)), 5)
	})
	t.Run("many one after the other", func(t *testing.T) {
		is := is.New(t)
		table := full()
		gone := 0
		for n, id := range []string{"a", "b", "c", "d", "e", "f"} {
			gone += len(table.RemoveVanished([]Change{{ID: id, Offset: int64(20 + n)}}, 10, now.Add(time.Duration(n)*50*time.Millisecond)))
		}
		is.True(gone*lapsePart <= 9)
	})
	t.Run("a history that is forgotten", func(t *testing.T) {
		is := is.New(t)
		table := full()
		var listed []Change
		for n := range 8 {
			listed = append(listed, at(string(rune('a'+n)), int64(n+1), false))
		}
		is.Equal(table.Replace(listed, 20, lapseWindow, now), []Change{{ID: "i", Offset: 20}})
		is.Equal(len(table.List()), 8)
	})
}
