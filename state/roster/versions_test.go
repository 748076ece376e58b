package roster

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/position"
)

func TestVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	state := func(id, version string, born, offset int64) Change {
		return Change{ID: id, Position: position.Position{Offset: offset}, Endpoint: &Endpoint{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Version: version, Born: born}}
	}
	t.Run("has versions for a while after their endpoints left the list", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		is.True(table.Apply(state("a", "v1", 1, 1), now))
		is.True(table.Apply(state("b", "v2", 1, 2), now))
		is.Equal(table.Versions("s", now), []string{"v1", "v2"})
		is.Equal(len(table.Versions("other", now)), 0)
		table.Apply(Change{ID: "a", Position: position.Position{Offset: 3}}, now)
		is.Equal(table.Versions("s", now.Add(VersionMemory-1)), []string{"v1", "v2"})
		is.Equal(table.Versions("s", now.Add(VersionMemory)), []string{"v2"})
	})
	t.Run("has the version of a process that another one under the same id replaced", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		table.Apply(state("a", "v1", 1, 1), now)
		is.True(table.Apply(state("a", "v2", 2, 2), now))
		is.Equal(table.Versions("s", now), []string{"v1", "v2"})
	})
	t.Run("keeps the version of a process when an older instance's report lacks it", func(t *testing.T) {
		is := is.New(t)
		table := NewTable()
		is.True(table.Apply(state("a", "", 1, 1), now))
		is.True(table.Apply(state("a", "v1", 1, 1), now)) // the same record, read by this instance
		is.True(!table.Apply(state("a", "", 1, 1), now))
		is.True(!table.Apply(state("a", "", 1, 2), now))
		is.Equal(table.Versions("s", now), []string{"v1"})
	})
}
