package hosted

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/state/roster"
)

// methodKnown asks another instance for what it knows beyond the asking one.
const methodState = "hosted.known"

// knowledge is what an instance knows, or with an empty list and no catalogue, what one has that asks.
type peerState struct {
	Version   int64           `json:"version"`
	Catalogue []byte          `json:"catalogue,omitempty"` // as the log holds it, packed; empty: not newer than the asking one's
	Endpoints []roster.Change `json:"endpoints,omitempty"`
	Listed    bool            `json:"listed"` // the list of endpoints is known
}

// serveKnown answers methodKnown.
func (i *Instance) serveState(_ context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
	var request peerState
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, err
	}
	reply := peerState{Endpoints: i.roster.Known(), Listed: i.listed.Load()}
	if c := i.catalogue.Load(); c != nil && c.version > request.Version {
		compressed, err := c.compressed()
		if err != nil {
			return nil, err
		}
		reply.Version, reply.Catalogue = c.version, compressed
	}
	return reply, nil
}

// catchUp learns from another instance what the log does not tell this one: where the log turns it away, is silent, or is away
// while it starts.
func (i *Instance) syncWithPeers(ctx context.Context) {
	behindSince := time.Time{} // since when another instance has a newer catalogue
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

// silent tells whether the list of endpoints has not been heard of for longer than its endpoints' heartbeats allow.
func (i *Instance) listStale(now time.Time) bool {
	latest := i.latestRead.Load()
	return latest == nil || now.Sub(*latest) > i.settings.Heartbeat+heartbeatMargin
}

func (i *Instance) catalogueVersion() int64 {
	if table := i.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// learn takes what the other instance knows.
func (i *Instance) fetchState(ctx context.Context, from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var state peerState
	if err := i.node.Call(ctx, from, methodState, peerState{Version: i.catalogueVersion()}, &state); err != nil {
		i.logger.Warn("nothing learnt from peer", "from", from, "error", err.Error())
		return
	}
	if len(state.Catalogue) > 0 {
		i.applyCompressedCatalogue(state.Catalogue, from)
	}
	now := time.Now()
	changed := false
	for _, c := range state.Endpoints {
		if i.notOlderThanList(c) && i.roster.Apply(c, now) {
			changed = true
			i.observer.endpointChanged(c, from.String())
		}
	}
	if state.Listed && !i.listed.Swap(true) || changed {
		i.refreshRouter()
	}
}

// takeKnown puts another instance's catalogue in force.
func (i *Instance) applyCompressedCatalogue(compressed []byte, from netip.AddrPort) {
	data, err := decompress(compressed)
	if err != nil {
		i.logger.Error("catalogue refused", "source", from, "error", err.Error())
		return
	}
	i.applyCatalogue(data, -1, from.String())
}
