package replica

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"

	"dogwooddyke/state/catalogue"
)

// ErrNoPeer reports that no peer gave a newer catalogue.
var ErrNoPeer = errors.New("no peer gave a newer catalogue")

// fetched is a peer's catalogue as a snapshot record in CBOR.
type fetched struct {
	Snapshot []byte `json:"snapshot"`
}

// fetch asks several peers at once and takes the state that covers most.
func (r *Replica) fetch(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var mu sync.Mutex
	var best *catalogue.Snapshot
	var group conc.WaitGroup
	for _, p := range r.somePeers() {
		group.Go(func() {
			s, err := r.fetchFrom(limited, p)
			r.observer.Fetched(err)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if best == nil || s.Covers > best.Covers {
				best = s
			}
		})
	}
	group.Wait()
	if best == nil || best.Covers <= r.table.Offset() {
		return ErrNoPeer
	}
	return r.table.Restore(best)
}

func (r *Replica) fetchFrom(ctx context.Context, peer netip.AddrPort) (*catalogue.Snapshot, error) {
	request := struct {
		After uint64 `json:"after"`
	}{r.table.Offset()}
	var answer fetched
	if err := r.peers.Call(ctx, peer, MethodFetch, request, &answer); err != nil {
		return nil, err
	}
	x, err := catalogue.Decode(answer.Snapshot)
	if err != nil {
		return nil, err
	}
	if x.Snapshot == nil {
		return nil, oops.Errorf("peer %s sent no snapshot", peer)
	}
	return x.Snapshot, r.table.Check(x.Snapshot)
}

func (r *Replica) somePeers() []netip.AddrPort {
	var others []netip.AddrPort
	for _, a := range r.members.Live() {
		if a != r.members.Self() {
			others = append(others, a)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(fetchPeers, len(others))]
}

// ServeFetch gives this instance's catalogue to a peer that has none, a bounded number at once.
func (r *Replica) ServeFetch(_ context.Context, from netip.AddrPort, _ json.RawMessage) (any, error) {
	if !r.Ready() {
		return nil, oops.Errorf("not ready: %s", r.State())
	}
	select {
	case r.fetches <- struct{}{}:
		defer func() { <-r.fetches }()
	default:
		return nil, oops.Errorf("busy; %s may ask again", from)
	}
	s, err := r.table.Snapshot()
	if err != nil {
		return nil, err
	}
	data, err := catalogue.Encode(catalogue.Record{Snapshot: s})
	if err != nil {
		return nil, err
	}
	return fetched{Snapshot: data}, nil
}
