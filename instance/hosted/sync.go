package hosted

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/state/evacuation"
	"dogwooddyke/state/position"
	"dogwooddyke/state/roster"
)

// methodState is the RPC method that returns the endpoints and the catalogue of another instance.
const methodState = "hosted.known"

// peerState is the request and the response of methodState.
type peerState struct {
	Version   int64             `json:"version"`             // of the caller's catalogue in a request, of Catalogue in a response
	Catalogue []byte            `json:"catalogue,omitempty"` // gzip-compressed catalogue of the log; empty: not newer than the caller's
	Endpoints []roster.Change   `json:"endpoints,omitempty"` // endpoints that are not gone; only in a response to a request without Packs
	Listed    bool              `json:"listed"`              // whether the instance knows the endpoint list
	Packs     bool              `json:"packs,omitempty"`     // in a request: the caller understands Packed and Known
	Known     position.Position `json:"known,omitzero"`      // up to which the caller knows the endpoints in a request, the answering instance in a response
	Packed    []byte            `json:"packed,omitempty"`    // gzip-compressed endpoints that are not gone and have changed after the request's Known

	Evacuations []evacuation.Change `json:"evacuations,omitempty"` // in a response: orders to evacuate data centres
	Operators   position.Position   `json:"operators,omitzero"`    // in a response: up to which the answering instance has read the orders
}

// serveState handles methodState.
func (i *Instance) serveState(_ context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
	var request peerState
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	reply := peerState{Listed: i.listed.Load()}
	if read := i.operatorPosition.Load(); read != nil {
		reply.Operators = *read // read first, so that the orders lack none up to it
	}
	reply.Evacuations = i.evacuations.Changes()
	if err := i.addEndpoints(&reply, &request); err != nil {
		return nil, err
	}
	if c := i.catalogue.Load(); c != nil && c.version > request.Version {
		compressed, err := c.compressed()
		if err != nil {
			return nil, err
		}
		reply.Version, reply.Catalogue = c.version, compressed
	}
	return reply, nil
}

// addEndpoints adds the endpoints that the caller may not know to a reply.
func (i *Instance) addEndpoints(reply, request *peerState) error {
	// The position is read first, so that the snapshot lacks no change up to it. Changes that reports have brought may have gaps.
	known := i.fetchedPosition()
	endpoints := i.roster.Snapshot(time.Now())
	if !request.Packs {
		reply.Endpoints = endpoints
		return nil
	}
	reply.Known = known
	endpoints = slices.DeleteFunc(endpoints, func(c roster.Change) bool { return c.Before(request.Known) })
	if len(endpoints) == 0 {
		return nil
	}
	data, err := json.Marshal(endpoints)
	if err != nil {
		return err
	}
	reply.Packed, err = compress(data)
	return err
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
		if late || i.listStale(now) || i.missesReported(now) {
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

// missesReported reports whether this instance, which can't read the list from the log, does not know a change that others know.
func (i *Instance) missesReported(now time.Time) bool {
	known := position.Latest(i.knownPosition(), i.fetchedPosition())
	return i.listLost.Load() && known.Before(i.gossiper.latest(now))
}

func (i *Instance) catalogueVersion() int64 {
	if table := i.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// fetchState fetches the state of other instances, first of the one given, and applies what is newer than this instance's. If the first one
// does not answer soon, others are asked as well, on new connections: any of them may have died or be cut off, or connections have gone silent.
func (i *Instance) fetchState(ctx context.Context, first netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if now := time.Now(); now.Sub(i.latestFetch) > fetchReuseTime {
		i.node.Renew(first) // it may have gone silent since it was used
	}
	i.latestFetch = time.Now()
	var calls atomic.Int32
	fetched, err := wait.First(ctx, fetchHedgeInterval, func(ctx context.Context) (fetchedState, error) {
		from := first
		if calls.Add(1) > 1 {
			from, _ = i.gossiper.newestCatalogue(time.Now())
			i.node.Renew(from)
		}
		state := fetchedState{from: from}
		request := peerState{Version: i.catalogueVersion(), Packs: true, Known: i.fetchedPosition()}
		err := i.node.Call(ctx, from, methodState, request, &state.peerState)
		return state, err
	})
	if err != nil {
		i.logger.Warn("could not fetch state from peer", "from", first, "error", err.Error())
		return
	}
	if err := i.applyFetched(&fetched); err != nil {
		i.logger.Error("could not decode state of peer", "source", fetched.from, "error", err.Error())
	}
}

// fetchedState is the state of another instance.
type fetchedState struct {
	peerState
	from netip.AddrPort
}

// applyFetched applies another instance's state.
func (i *Instance) applyFetched(state *fetchedState) error {
	i.applyFetchedEvacuations(state)
	if len(state.Catalogue) > 0 {
		i.applyCompressedCatalogue(state.Catalogue, state.from)
	}
	endpoints, err := state.endpoints()
	if err != nil {
		return err
	}
	now := time.Now()
	changed := false
	for _, c := range endpoints {
		if i.notOlderThanList(c) && i.roster.Merge(c, now) {
			changed = true
			i.observer.endpointChanged(c, state.from.String())
		}
	}
	if state.Listed {
		// Without this, an instance that can't read the list itself would fetch it again and again.
		i.latestRead.Store(&now)
		i.fetched.Store(&state.Known)
	}
	if state.Listed && !i.listed.Swap(true) || changed {
		i.refreshRouter()
	}
	return nil
}

// applyFetchedEvacuations applies the orders of another instance that has read more of the log than this one.
func (i *Instance) applyFetchedEvacuations(state *fetchedState) {
	if read := i.operatorPosition.Load(); read != nil && !read.Before(state.Operators) || state.Operators == (position.Position{}) {
		return
	}
	i.replaceEvacuations(state.Evacuations, state.Operators, state.from.String())
	i.operatorPosition.Store(&state.Operators)
}

// endpoints returns the endpoints of the state.
func (s *fetchedState) endpoints() ([]roster.Change, error) {
	if len(s.Packed) == 0 {
		return s.Endpoints, nil
	}
	data, err := decompress(s.Packed)
	if err != nil {
		return nil, err
	}
	var endpoints []roster.Change
	if err := json.Unmarshal(data, &endpoints); err != nil {
		return nil, err
	}
	return endpoints, nil
}

// fetchedPosition returns the log position up to which this instance has read the endpoint list or fetched it, the zero position if neither.
func (i *Instance) fetchedPosition() position.Position {
	if p := i.fetched.Load(); p != nil {
		return position.Latest(*p, i.listPosition())
	}
	return i.listPosition()
}

// applyCompressedCatalogue decompresses another instance's catalogue and applies it.
func (i *Instance) applyCompressedCatalogue(compressed []byte, from netip.AddrPort) {
	data, err := decompress(compressed)
	if err != nil {
		i.logger.Error("could not decompress catalogue from peer", "source", from, "error", err.Error())
		return
	}
	if i.applyCatalogue(data, -1, from.String()) {
		i.restartCatalogueRead() // the waiting read should have returned it first
	}
}
