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
const methodKnown = "hosted.known"

// knowledge is what an instance knows, or with an empty list and no catalogue, what one has that asks.
type knowledge struct {
	Version   int64           `json:"version"`
	Catalogue []byte          `json:"catalogue,omitempty"` // as the log holds it, packed; empty: not newer than the asking one's
	Endpoints []roster.Change `json:"endpoints,omitempty"`
	Listed    bool            `json:"listed"` // the list of endpoints is known
}

// serveKnown answers methodKnown.
func (i *Instance) serveKnown(_ context.Context, _ netip.AddrPort, params json.RawMessage) (any, error) {
	var asked knowledge
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, err
	}
	reply := knowledge{Endpoints: i.roster.Snapshot(), Listed: i.listed.Load()}
	if c := i.catalogue.Load(); c != nil && c.version > asked.Version {
		packed, err := c.packed()
		if err != nil {
			return nil, err
		}
		reply.Version, reply.Catalogue = c.version, packed
	}
	return reply, nil
}

// catchUp learns from another instance what the log does not tell this one: where the log turns it away, is silent, or is away
// while it starts.
func (i *Instance) catchUp(ctx context.Context) {
	behind := time.Time{} // since when another instance has a newer catalogue
	for wait.For(ctx, wait.Jitter(catchUpInterval)) == nil {
		now := time.Now()
		from, version := i.exchange.newest(now)
		switch {
		case !from.IsValid():
			continue
		case version <= i.version():
			behind = time.Time{}
		case behind.IsZero():
			behind = now
		}
		late := !behind.IsZero() && now.Sub(behind) >= catchUpInterval
		if late || i.silent(now) {
			i.learn(ctx, from)
		}
	}
}

// silent tells whether the list of endpoints has not been heard of for longer than its endpoints' heartbeats allow.
func (i *Instance) silent(now time.Time) bool {
	heard := i.heard.Load()
	return heard == nil || now.Sub(*heard) > i.settings.Heartbeat+silentMargin
}

func (i *Instance) version() int64 {
	if table := i.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// learn takes what the other instance knows.
func (i *Instance) learn(ctx context.Context, from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	var known knowledge
	if err := i.node.Call(ctx, from, methodKnown, knowledge{Version: i.version()}, &known); err != nil {
		i.logger.Warn("nothing learnt from peer", "from", from, "error", err.Error())
		return
	}
	if len(known.Catalogue) > 0 {
		i.takeKnown(known.Catalogue, from)
	}
	now := time.Now()
	changed := false
	for _, c := range known.Endpoints {
		if i.news(c) && i.roster.Apply(c, now) {
			changed = true
			i.observer.endpointChanged(c, from.String())
		}
	}
	if known.Listed && !i.listed.Swap(true) || changed {
		i.refresh()
	}
}

// takeKnown puts another instance's catalogue in force.
func (i *Instance) takeKnown(packed []byte, from netip.AddrPort) {
	data, err := unpack(packed)
	if err != nil {
		i.logger.Error("catalogue refused", "source", from, "error", err.Error())
		return
	}
	i.decodeCatalogue(data, -1, from.String())
}
