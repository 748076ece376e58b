package member

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"

	"dogwooddyke/internal/wait"
)

// Peers calls other instances.
type Peers interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Observer counts what the loops do.
type Observer interface {
	ListRead(err error)
	HeartbeatSent(err error)
	PositionsDiffer(peer netip.AddrPort) // same offset, other digest
}

// Loops keeps a table up to date.
type Loops struct {
	Members  *Members
	Roster   Roster
	Peers    Peers
	Position func() Position     // of this instance's catalogue
	Ahead    func(offset uint64) // a peer's catalogue is at this offset; may be nil
	Observer Observer
}

// Run reads the list and sends heartbeats until the context ends.
func (l *Loops) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { l.readLists(ctx) })
	group.Go(func() { l.beat(ctx) })
	group.Wait()
}

// readLists paces this instance so that all together read the list three times a second or each once a second, whichever is less.
func (l *Loops) readLists(ctx context.Context) {
	for {
		delay := max(ListInterval, time.Duration(len(l.Members.Live()))*listShare)
		if l.readList(ctx) {
			delay = ListInterval
		}
		if wait.For(ctx, wait.Jitter(delay)) != nil {
			return
		}
	}
}

func (l *Loops) readList(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	rows, err := l.Roster.Instances(limited)
	l.Observer.ListRead(err)
	if err != nil {
		return true
	}
	return l.Members.List(time.Now(), rows)
}

// beat does not wait for a slow neighbour, so that it delays no other's news.
func (l *Loops) beat(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	var busy sync.Map
	for {
		for _, a := range l.Members.Tick(time.Now()) {
			if _, loaded := busy.LoadOrStore(a, true); loaded {
				continue
			}
			group.Go(func() {
				defer busy.Delete(a)
				l.beatOne(ctx, a)
			})
		}
		if wait.For(ctx, newsGap) != nil || !l.await(ctx) {
			return
		}
	}
}

// await returns at the next regular heartbeat or when there is news.
func (l *Loops) await(ctx context.Context) bool {
	timer := time.NewTimer(wait.Jitter(BeatInterval - newsGap))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-l.Members.wake:
	}
	return true
}

func (l *Loops) beatOne(ctx context.Context, to netip.AddrPort) {
	limited, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	beat, through := l.Members.Beat(to, l.Position())
	var answer Heartbeat
	err := l.Peers.Call(limited, to, MethodHeartbeat, beat, &answer)
	l.Observer.HeartbeatSent(err)
	if err != nil {
		return
	}
	l.Members.Confirm(to, through)
	l.take(to, answer)
	l.Members.wakeFor(to)
}

// ServeHeartbeat handles a peer's heartbeat.
func (l *Loops) ServeHeartbeat(_ context.Context, from netip.AddrPort, params json.RawMessage) (any, error) {
	var beat Heartbeat
	if err := json.Unmarshal(params, &beat); err != nil {
		return nil, oops.Wrapf(err, "heartbeat of %s", from)
	}
	l.take(from, beat)
	answer, through := l.Members.Beat(from, l.Position())
	l.Members.Confirm(from, through)
	return answer, nil
}

func (l *Loops) take(from netip.AddrPort, beat Heartbeat) {
	l.Members.Heard(time.Now(), from, beat)
	if l.Ahead != nil {
		l.Ahead(beat.Position.Offset)
	}
	own := l.Position()
	if own.Offset == beat.Position.Offset && own.Digest != beat.Position.Digest {
		l.Observer.PositionsDiffer(from)
	}
}
