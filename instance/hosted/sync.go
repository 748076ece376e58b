package hosted

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync/atomic"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/state/roster"
)

// methodState is the RPC method that returns the endpoints and the catalogue of another instance.
const methodState = "hosted.known"

// peerState is the request and the response of methodState; a request sets only Version.
type peerState struct {
	Version   int64           `json:"version"`             // of the caller's catalogue in a request, of Catalogue in a response
	Catalogue []byte          `json:"catalogue,omitempty"` // gzip-compressed catalogue of the log; empty: not newer than the caller's
	Endpoints []roster.Change `json:"endpoints,omitempty"` // endpoints that are not gone
	Listed    bool            `json:"listed"`              // whether the instance knows the endpoint list
}

// serveState handles methodState.
func (i *Instance) serveState(_ context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
	var request peerState
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	reply := peerState{Endpoints: i.roster.Snapshot(), Listed: i.listed.Load()}
	if c := i.catalogue.Load(); c != nil && c.version > request.Version {
		compressed, err := c.compressed()
		if err != nil {
			return nil, err
		}
		reply.Version, reply.Catalogue = c.version, compressed
	}
	return reply, nil
}

// syncWithPeers fetches the state of another instance while this one does not receive it from the log: because the log refuses its
// calls, does not answer, or is unreachable while this instance starts. It returns when the context ends.
func (i *Instance) syncWithPeers(ctx context.Context) {
	behindSince := time.Time{} // when another instance was first seen to have a newer catalogue; zero: none has
	for wait.For(ctx, wait.Jitter(syncInterval)) == nil {
		now := time.Now()
		from, version := i.gossiper.newestCatalogue(now)
		switch {
		case !from.IsValid():
			continue
		case version <= i.catalogueVersion():
			behindSince = time.Time{}
		case behindSince.IsZero():
			behindSince = now
		}
		late := !behindSince.IsZero() && now.Sub(behindSince) >= syncInterval
		if late || i.listStale(now) {
			i.fetchState(ctx, from)
		}
	}
}

// listStale reports whether the latest known read of the endpoint list is older than the endpoints' heartbeat interval and the readers'
// reports allow.
func (i *Instance) listStale(now time.Time) bool {
	latest := i.latestRead.Load()
	return latest == nil || now.Sub(*latest) > i.settings.Heartbeat+heartbeatMargin+i.gossiper.readerInterval()
}

func (i *Instance) catalogueVersion() int64 {
	if table := i.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// fetchState fetches the state of other instances, first of the one given, and applies what is newer than this instance's. If the first one
// does not answer soon, others are asked as well: any of them may have died or be cut off.
func (i *Instance) fetchState(ctx context.Context, first netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var calls atomic.Int32
	fetched, err := wait.First(ctx, fetchHedgeInterval, func(ctx context.Context) (fetchedState, error) {
		from := first
		if calls.Add(1) > 1 {
			from, _ = i.gossiper.newestCatalogue(time.Now())
		}
		state := fetchedState{from: from}
		err := i.node.Call(ctx, from, methodState, peerState{Version: i.catalogueVersion()}, &state.peerState)
		return state, err
	})
	if err != nil {
		i.logger.Warn("could not fetch state from peer", "from", first, "error", err.Error())
		return
	}
	i.applyFetched(&fetched)
}

// fetchedState is the state of another instance.
type fetchedState struct {
	peerState
	from netip.AddrPort
}

// applyFetched applies another instance's state.
func (i *Instance) applyFetched(state *fetchedState) {
	if len(state.Catalogue) > 0 {
		i.applyCompressedCatalogue(state.Catalogue, state.from)
	}
	now := time.Now()
	changed := false
	for _, c := range state.Endpoints {
		if i.notOlderThanList(c) && i.roster.Merge(c, now) {
			changed = true
			i.observer.endpointChanged(c, state.from.String())
		}
	}
	if state.Listed && !i.listed.Swap(true) || changed {
		i.refreshRouter()
	}
}

// applyCompressedCatalogue decompresses another instance's catalogue and applies it.
func (i *Instance) applyCompressedCatalogue(compressed []byte, from netip.AddrPort) {
	data, err := decompress(compressed)
	if err != nil {
		i.logger.Error("could not decompress catalogue from peer", "source", from, "error", err.Error())
		return
	}
	i.applyCatalogue(data, -1, from.String())
}
