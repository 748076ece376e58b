package replica

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/member"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/record"
)

// Methods that replicas serve.
const (
	MethodPush  = "catalogue.push"
	MethodFetch = "catalogue.fetch"
)

// news is a push: records that follow each other, and how far the sender is.
type news struct {
	Head    uint64   `json:"head"`
	Records []pushed `json:"records,omitempty"`
}

// pusher sends new records to the targets, each at its own pace.
type pusher struct {
	wake chan struct{}

	mu      sync.Mutex // guards targets; taken before nothing else
	targets map[netip.AddrPort]target
}

// target is what is known of one peer that records are pushed to.
type target struct {
	sent   uint64 // offset through which it has the records; 0: not known
	busy   bool
	failed bool // the last push did not reach it
}

// place returns the order of the tree and this instance's position in it.
func (r *Replica) place() ([]netip.AddrPort, int) {
	ranked := member.Ranked(catalogue.Stream, r.members.Live())
	position := slices.Index(ranked, r.members.Self())
	if position < 0 {
		position = len(ranked)
	}
	return ranked, position
}

// chosen returns the peers to push to: the children; for each seed also those of the root, which may be dead; and in
// place of each child that was not reached its own children as well.
func (r *Replica) chosen() []netip.AddrPort {
	ranked, position := r.place()
	queue := children(position)
	if position < Seeds {
		queue = append(queue, children(0)...)
	}
	var chosen []netip.AddrPort
	for i := 0; i < len(queue) && len(chosen) < maximumTargets; i++ {
		p := queue[i]
		if p >= len(ranked) || p == position || slices.Contains(chosen, ranked[p]) {
			continue
		}
		chosen = append(chosen, ranked[p])
		if r.pusher.of(ranked[p]).failed {
			queue = append(queue, children(p)...)
		}
	}
	return chosen
}

// children returns the positions below the given one.
func children(position int) []int {
	below := make([]int, 0, Fanout)
	for i := range Fanout {
		below = append(below, Fanout*position+1+i)
	}
	return below
}

func (r *Replica) push(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pusher.wake:
		}
		for _, c := range r.pusher.idle(r.chosen(), r.table.Offset()) {
			group.Go(func() { r.pushTo(ctx, c) })
		}
	}
}

// idle marks the targets that lack records and are not being sent any, and forgets those that are no targets any more.
func (p *pusher) idle(chosen []netip.AddrPort, offset uint64) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[netip.AddrPort]target, len(chosen))
	var out []netip.AddrPort
	for _, c := range chosen {
		t := p.targets[c]
		if !t.busy && t.sent < offset {
			t.busy = true
			out = append(out, c)
		}
		kept[c] = t
	}
	p.targets = kept
	return out
}

func (p *pusher) of(peer netip.AddrPort) target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targets[peer]
}

func (p *pusher) done(peer netip.AddrPort, offset uint64, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.targets[peer]; ok {
		p.targets[peer] = target{sent: max(t.sent, offset), failed: failed}
	}
}

// pushTo sends one batch, and another if the answer shows that the peer is further behind.
func (r *Replica) pushTo(ctx context.Context, peer netip.AddrPort) {
	limited, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	head := r.table.Offset()
	from := r.pusher.of(peer).sent
	if from == 0 {
		from = head - 1
	}
	reached, err := r.pushAfter(limited, peer, from)
	if err == nil && reached < from {
		reached, err = r.pushAfter(limited, peer, reached)
	}
	if err != nil || reached <= from {
		// The peer polls the log; only later records are pushed to it again.
		reached = head
	}
	r.pusher.done(peer, reached, err != nil)
	switch {
	case err == nil:
		r.members.Seen(time.Now(), peer)
	case ctx.Err() == nil:
		r.members.Suspect(time.Now(), peer)
	}
	if err != nil || reached < r.table.Offset() {
		signal(r.pusher.wake)
	}
}

// pushAfter sends what follows the offset and returns where the child is then.
func (r *Replica) pushAfter(ctx context.Context, child netip.AddrPort, from uint64) (uint64, error) {
	sent := news{Head: r.table.Offset(), Records: r.recent.after(from)}
	var answer struct {
		Offset uint64 `json:"offset"`
	}
	err := r.peers.Call(ctx, child, MethodPush, sent, &answer)
	r.observer.Pushed(err)
	return answer.Offset, err
}

// ServePush handles a peer's push: records count only if they follow what is folded here.
func (r *Replica) ServePush(_ context.Context, from netip.AddrPort, params json.RawMessage) (any, error) {
	var n news
	if err := json.Unmarshal(params, &n); err != nil {
		return nil, oops.Wrapf(err, "push of %s", from)
	}
	if len(n.Records) > maximumPushRecords {
		return nil, oops.Errorf("push of %s: %d records; at most %d", from, len(n.Records), maximumPushRecords)
	}
	if r.State() == StateFollowing || r.State() == StateOutage {
		if err := r.takePush(n.Records); err != nil {
			signal(r.wake)
		}
	}
	r.Hint(n.Head)
	return struct {
		Offset uint64 `json:"offset"`
	}{r.table.Offset()}, nil
}

func (r *Replica) takePush(ps []pushed) error {
	mark, err := catalogue.Encode(catalogue.Record{Snapshot: &catalogue.Snapshot{}})
	if err != nil {
		return err
	}
	rs := make([]record.Record, 0, len(ps))
	for _, p := range ps {
		data := p.Data
		if p.Snapshot {
			data = mark
		}
		rs = append(rs, record.Record{Offset: p.Offset, Data: data, Time: time.Time{}})
	}
	return r.fold(rs)
}
