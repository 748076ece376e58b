package hosted

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/coordination/gossip"
	"dogwooddyke/state/position"
	"dogwooddyke/state/roster"
)

// When an engine is reclaimed, its users leave it one after the other, in an order that depends on who has runs there. An instance whose
// runs have ended since its latest report must say so at once, or the others wait for it for most of the notice.
func TestReportLeft(t *testing.T) {
	is := is.New(t)
	i := New(newFleet(t).newSettings(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	g := i.gossiper
	engine := netip.MustParseAddrPort("10.0.0.1:80")
	list := func(offset int64, leaving bool) {
		endpoint := &roster.Endpoint{ID: "m-1", Service: "model", Address: engine, Leaving: leaving}
		i.roster.Apply(roster.Change{ID: "m-1", Position: position.Position{Offset: offset}, Endpoint: endpoint}, time.Now())
		g.reportLeft()
	}
	list(1, false)
	g.deltas.Pick([]gossip.Use{{Endpoint: engine, Running: 1, Held: 4000}}, time.Hour, time.Now())
	list(2, false)
	is.Equal(len(g.urgent), 0)
	list(3, true)
	is.Equal(g.urgent, []netip.AddrPort{engine})
	is.Equal(len(g.wake), 1)
	list(4, true)
	is.Equal(len(g.urgent), 1) // told once
}
