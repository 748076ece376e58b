package hosted

import (
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"dogwooddyke/coordination/gossip"
	"dogwooddyke/state/position"
	"dogwooddyke/state/roster"
)

// Eight instances read the same change of an endpoint from the log and report it. A forwarder sends it on once: eight times the changes of
// two dozen engines that leave together would fill a slow link for most of the notice that they give.
func TestForwardLater(t *testing.T) {
	is := is.New(t)
	i := New(newFleet(t).newSettings(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	change := roster.Change{
		ID:       "m-1",
		Position: position.Position{Era: 1, Offset: 5},
		Endpoint: &roster.Endpoint{ID: "m-1", Service: "model", Address: netip.MustParseAddrPort("10.0.0.1:80"), Leaving: true},
	}
	for n := range 8 {
		report, err := gossip.Encode(&gossip.Report{From: netip.MustParseAddrPort(fmt.Sprint("10.1.0.", n+1, ":7200")), Start: 1, Sequence: 1, Updates: []roster.Change{change}})
		is.NoErr(err)
		i.gossiper.receiveReport(report, messageCollect)
	}
	reports, _ := i.gossiper.bundle.Take()
	is.Equal(len(reports), 8)
	forwarded := 0
	for _, encoded := range reports {
		r, err := gossip.Decode(encoded)
		is.NoErr(err)
		forwarded += len(r.Updates)
		for _, u := range r.Updates {
			is.Equal(u.Position, change.Position)
		}
	}
	is.Equal(forwarded, 1)
	is.Equal(len(i.gossiper.bundleUrgent), 1)
}

// A change of an endpoint counts also in a report that a later one has overtaken.
func TestOvertakenUpdate(t *testing.T) {
	is := is.New(t)
	i := New(newFleet(t).newSettings(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	from, address := netip.MustParseAddrPort("10.1.0.1:7200"), netip.MustParseAddrPort("10.0.0.1:80")
	receive := func(sequence uint64, updates ...roster.Change) {
		report, err := gossip.Encode(&gossip.Report{From: from, Start: 1, Sequence: sequence, Partial: true, Updates: updates})
		is.NoErr(err)
		i.gossiper.receiveReport(report, messageReport)
	}
	receive(2)
	receive(1, roster.Change{ID: "m-1", Position: position.Position{Offset: 5}, Endpoint: &roster.Endpoint{ID: "m-1", Service: "model", Address: address}})
	is.Equal(len(i.roster.List()), 1)
}
