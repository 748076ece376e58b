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

// pusher sends new records to the children, each at its own pace.
type pusher struct {
	wake chan struct{}

	mu   sync.Mutex // guards sent and busy; taken before nothing else
	sent map[netip.AddrPort]uint64
	busy map[netip.AddrPort]bool
}

// place returns this instance's position in the tree and its children.
func (r *Replica) place() (int, []netip.AddrPort) {
	ranked := member.Ranked(catalogue.Stream, r.members.Live())
	position := slices.Index(ranked, r.members.Self())
	if position < 0 {
		return len(ranked), nil
	}
	first := min(Fanout*position+1, len(ranked))
	last := min(first+Fanout, len(ranked))
	return position, ranked[first:last]
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
		_, children := r.place()
		for _, c := range r.pusher.idle(children, r.table.Offset()) {
			group.Go(func() { r.pushTo(ctx, c) })
		}
	}
}

// idle marks the children that lack records and are not being sent any, and forgets those that are no children any more.
func (p *pusher) idle(children []netip.AddrPort, offset uint64) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent := make(map[netip.AddrPort]uint64, len(children))
	busy := make(map[netip.AddrPort]bool, len(children))
	var out []netip.AddrPort
	for _, c := range children {
		sent[c], busy[c] = p.sent[c], p.busy[c]
		if !busy[c] && sent[c] < offset {
			busy[c] = true
			out = append(out, c)
		}
	}
	p.sent, p.busy = sent, busy
	return out
}

// from returns the offset through which the child has the records, or the given one if that is not known.
func (p *pusher) from(child netip.AddrPort, unknown uint64) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent[child] == 0 {
		return unknown
	}
	return p.sent[child]
}

func (p *pusher) done(child netip.AddrPort, offset uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.busy[child]; ok {
		p.busy[child] = false
		p.sent[child] = max(p.sent[child], offset)
	}
}

// pushTo sends one batch, and another if the answer shows that the child is further behind.
func (r *Replica) pushTo(ctx context.Context, child netip.AddrPort) {
	limited, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	head := r.table.Offset()
	from := r.pusher.from(child, head-1)
	reached, err := r.pushAfter(limited, child, from)
	if err == nil && reached < from {
		reached, err = r.pushAfter(limited, child, reached)
	}
	if err != nil || reached <= from {
		// The child polls the log; only later records are pushed to it again.
		reached = head
	}
	r.pusher.done(child, reached)
	if reached < r.table.Offset() {
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
