package stream

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTable(t *testing.T) {
	now := time.Unix(1000, 0)
	beginning := func(version string, lasts time.Duration) Beginning {
		return Beginning{Service: "s", Version: version, Until: now.Add(lasts)}
	}
	t.Run("keeps a stream until it can't be taken up any more", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(4)
		table.Add(Of("w", "r"), beginning("v1", time.Minute), now)
		found, known := table.Find(Of("w", "r"), now.Add(time.Minute-1))
		is.True(known)
		is.Equal(found.Version, "v1")
		_, known = table.Find(Of("w", "r"), now.Add(time.Minute))
		is.True(!known)
		table.Expire(now.Add(time.Minute))
		is.Equal(table.Len(), 0)
	})
	t.Run("tells workspaces apart", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(4)
		table.Add(Of("w", "r"), beginning("v1", time.Minute), now)
		for _, other := range []ID{Of("x", "r"), Of("", "wr"), Of("wr", ""), Of("w", "")} {
			_, known := table.Find(other, now)
			is.True(!known)
		}
	})
	t.Run("keeps the first beginning of a stream, and the later end", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(4)
		table.Add(Of("w", "r"), beginning("v1", time.Minute), now)
		table.Add(Of("w", "r"), beginning("v2", 2*time.Minute), now)
		found, known := table.Find(Of("w", "r"), now.Add(90*time.Second))
		is.True(known)
		is.Equal(found.Version, "v1")
	})
	t.Run("is bounded, and drops what is over first", func(t *testing.T) {
		is := is.New(t)
		table := NewTable(4)
		for n := range 3 {
			table.Add(Of("w", fmt.Sprint(n)), beginning("v1", time.Second), now)
		}
		table.Add(Of("w", "long"), beginning("v1", time.Minute), now)
		table.Add(Of("w", "new"), beginning("v1", time.Minute), now.Add(time.Second))
		_, known := table.Find(Of("w", "long"), now.Add(time.Second))
		is.True(known)
		for n := range 100 {
			table.Add(Of("w", fmt.Sprint("more", n)), beginning("v1", time.Minute), now)
			is.True(table.Len() <= 4)
		}
	})
}
