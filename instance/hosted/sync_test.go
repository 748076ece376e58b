package hosted

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// A fleet of three thousand engines starts: an instance that waits for its own list fetches the state of a peer. It must fetch what it
// does not know yet, once, instead of everything four times a second.
func TestServeState(t *testing.T) {
	f := newFleet(t)
	f.publishCatalogue(1, "desk")
	for _, id := range []string{"d-1", "d-2", "d-3"} {
		f.startEngine(id, "desk")
	}
	i := f.startInstance()
	f.awaitReady(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 3 })
	serve := func(t *testing.T, request peerState) *fetchedState {
		is := is.New(t)
		params, err := json.Marshal(request)
		is.NoErr(err)
		reply, err := i.serveState(t.Context(), netip.AddrPort{}, params)
		is.NoErr(err)
		state := reply.(peerState)
		return &fetchedState{peerState: state}
	}
	t.Run("an instance of an older version receives all endpoints", func(t *testing.T) {
		is := is.New(t)
		state := serve(t, peerState{})
		is.Equal(len(state.Endpoints), 3)
		is.Equal(len(state.Packed), 0)
	})
	t.Run("an instance that knows nothing receives all endpoints, packed", func(t *testing.T) {
		is := is.New(t)
		state := serve(t, peerState{Packs: true})
		endpoints, err := state.endpoints()
		is.NoErr(err)
		is.Equal(len(endpoints), 3)
		is.Equal(len(state.Endpoints), 0)
		is.Equal(state.Known, i.knownPosition())
	})
	t.Run("an instance that has fetched the state receives what has changed since", func(t *testing.T) {
		is := is.New(t)
		known := serve(t, peerState{Packs: true}).Known
		is.Equal(len(serve(t, peerState{Packs: true, Known: known}).Packed), 0)
		f.startEngine("d-4", "desk")
		f.eventually("fourth endpoint", func() bool { return len(i.roster.List()) == 4 })
		endpoints, err := serve(t, peerState{Packs: true, Known: known}).endpoints()
		is.NoErr(err)
		is.Equal(len(endpoints), 1)
		is.Equal(endpoints[0].ID, "d-4")
	})
	t.Run("a fetched list counts as read", func(t *testing.T) {
		is := is.New(t)
		f.log.Silence(true)
		defer f.log.Silence(false)
		other := f.startInstance()
		is.NoErr(other.applyFetched(serve(t, peerState{Packs: true})))
		is.True(other.latestRead.Load() != nil)
		is.Equal(other.fetchedPosition(), i.knownPosition())
		is.True(other.Ready() || other.table.Load() == nil)
	})
}
