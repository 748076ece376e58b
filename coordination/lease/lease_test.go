package lease

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dogwooddyke/coordination/internal/logtest"
)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

// world is a set of instances over one log.
type world struct {
	log   *logtest.Log
	mu    sync.Mutex
	live  []netip.AddrPort
	nodes []*node
}

type node struct {
	*Leases
	world  *world
	self   netip.AddrPort
	link   *logtest.Link
	cancel context.CancelFunc
	done   chan struct{}
}

func newWorld(count int) *world {
	w := &world{log: logtest.New()}
	for i := range count {
		w.live = append(w.live, address(i))
	}
	for i := range count {
		n := &node{world: w, self: address(i), link: &logtest.Link{Log: w.log}, done: make(chan struct{})}
		n.Leases = New(n.link, n, n, n)
		ctx, cancel := context.WithCancel(context.Background())
		n.cancel = cancel
		w.nodes = append(w.nodes, n)
		go func() {
			defer close(n.done)
			n.Run(ctx)
		}()
	}
	return w
}

func (w *world) stop() {
	for _, n := range w.nodes {
		n.cancel()
		<-n.done
	}
}

func (n *node) Self() netip.AddrPort                   { return n.self }
func (n *node) EngineEntries() []string                { return []string{"isoraklet", "dogwood-gye"} }
func (n *node) LeaseAppended(Kind, error)              {}
func (n *node) LeaseRead(error)                        {}
func (n *node) LeaseMoved(int, netip.AddrPort, uint64) {}

func (n *node) Live() []netip.AddrPort {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return n.world.live
}

func (w *world) remove(a netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.live = slices.DeleteFunc(slices.Clone(w.live), func(x netip.AddrPort) bool { return x == a })
}

// holders returns the instances that may give orders for the entry, and fails if two may to engines that ignore fences.
func (w *world) holders(t *testing.T, entry string) []*node {
	t.Helper()
	now := time.Now()
	var holders []*node
	plain := 0
	for _, n := range w.nodes {
		if g, ok := n.Grant(now, entry); ok {
			holders = append(holders, n)
			if !now.Before(g.From) {
				plain++
			}
		}
	}
	if plain > 1 {
		t.Fatalf("%d instances may order engines that ignore fences", plain)
	}
	return holders
}

func inTime(t *testing.T, name string, count int, body func(t *testing.T, w *world)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(count)
			defer w.stop()
			time.Sleep(time.Minute)
			body(t, w)
		})
	})
}

func TestLeases(t *testing.T) {
	const entry = "isoraklet"
	inTime(t, "oneHolder", 8, func(t *testing.T, w *world) {
		is := is.New(t)
		is.Equal(len(w.holders(t, entry)), 1)
		before := w.log.Head(Stream(PartitionOf(entry)))
		time.Sleep(10 * time.Minute)
		appended := w.log.Head(Stream(PartitionOf(entry))) - before
		is.True(appended >= 118 && appended <= 122)
	})
	inTime(t, "holderCutFromLogLapsesBeforeTheNextActs", 8, func(t *testing.T, w *world) {
		is := is.New(t)
		former := w.holders(t, entry)[0]
		former.link.Cut(true)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			w.holders(t, entry)
		}
		now := w.holders(t, entry)
		is.Equal(len(now), 1)
		is.True(now[0] != former)
		former.link.Cut(false)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			w.holders(t, entry)
		}
		is.True(w.holders(t, entry)[0] == now[0])
	})
	inTime(t, "shortOutageKeepsTheHolder", 8, func(t *testing.T, w *world) {
		is := is.New(t)
		holder := w.holders(t, entry)[0]
		for _, n := range w.nodes {
			n.link.Cut(true)
		}
		time.Sleep(2 * Term)
		is.Equal(len(w.holders(t, entry)), 0)
		for _, n := range w.nodes {
			n.link.Cut(false)
		}
		time.Sleep(2 * retryInterval)
		is.True(w.holders(t, entry)[0] == holder)
	})
	inTime(t, "drainHandsOver", 8, func(t *testing.T, w *world) {
		is := is.New(t)
		former := w.holders(t, entry)[0]
		w.remove(former.self)
		begun := time.Now()
		former.Drain(t.Context())
		is.True(time.Since(begun) <= 2*retryInterval)
		_, ok := former.Grant(time.Now(), entry)
		is.True(!ok)
		time.Sleep(3 * chooseEvery)
		is.Equal(len(w.holders(t, entry)), 1)
		is.True(w.holders(t, entry)[0] != former)
	})
	inTime(t, "lostAcknowledgements", 3, func(t *testing.T, w *world) {
		is := is.New(t)
		holder := w.holders(t, entry)[0]
		holder.link.LoseAcknowledgements(50)
		time.Sleep(time.Minute)
		is.True(w.holders(t, entry)[0] == holder)
	})
	inTime(t, "retentionPassesWhileCut", 8, func(t *testing.T, w *world) {
		is := is.New(t)
		former := w.holders(t, entry)[0]
		former.link.Cut(true)
		time.Sleep(time.Hour)
		stream := Stream(PartitionOf(entry))
		w.log.Retain(stream, w.log.Head(stream)-3)
		former.link.Cut(false)
		time.Sleep(time.Minute)
		is.Equal(len(w.holders(t, entry)), 1)
		is.True(w.holders(t, entry)[0] != former)
	})
}

func TestKeeper(t *testing.T) {
	start := time.Unix(1e9, 0)
	t.Run("pausedHolderIsVoidByPosition", func(t *testing.T) {
		is := is.New(t)
		k := NewKeeper(address(1), start, 0)
		take, ok := k.Next(start, 0, true)
		is.True(ok)
		k.Observe(start, 1, take)
		_, ok = k.Holding(start)
		is.True(ok)
		late, ok := k.Next(start.Add(RenewInterval), 0, true)
		is.True(ok)
		k.Observe(start.Add(time.Hour), 2, Record{Kind: KindTake, Holder: address(2), Sequence: 1})
		k.Observe(start.Add(time.Hour), 3, late)
		_, ok = k.Holding(start.Add(time.Hour))
		is.True(!ok)
		is.Equal(k.Fold().Fence, uint64(2))
	})
	t.Run("nextHolderKnowsTheCatalogueOfTheFormer", func(t *testing.T) {
		is := is.New(t)
		former, next := NewKeeper(address(1), start, 0), NewKeeper(address(2), start, 0)
		former.Ordering(77)
		for i, k := range []*Keeper{former, next} {
			now := start.Add(time.Duration(i) * WaitOut)
			r, ok := k.Next(now, 0, true)
			is.True(ok)
			former.Observe(now, uint64(i+1), r)
			next.Observe(now, uint64(i+1), r)
		}
		g, ok := next.Holding(start.Add(WaitOut))
		is.True(ok)
		is.Equal(g.Catalogue, uint64(77))
	})
	t.Run("formerProcessOfTheAddress", func(t *testing.T) {
		is := is.New(t)
		k := NewKeeper(address(1), start, 100)
		k.Observe(start, 1, Record{Kind: KindTake, Holder: address(1), Sequence: 7})
		_, ok := k.Holding(start)
		is.True(!ok)
		_, ok = k.Next(start.Add(WaitOut-1), 0, true)
		is.True(!ok)
		_, ok = k.Next(start.Add(WaitOut), 0, true)
		is.True(ok)
	})
	t.Run("tailTellsTheSame", func(t *testing.T) { rapid.Check(t, checkTail) })
}

// checkTail compares a fold of all records with one that begins in the middle, after a record of the living holder.
func checkTail(t *rapid.T) {
	var whole Fold
	tail := &Fold{}
	fences := map[int]uint64{}
	begin := uint64(rapid.IntRange(1, 30).Draw(t, "begin"))
	agreed := false
	for offset := uint64(1); offset <= 60; offset++ {
		who := rapid.IntRange(0, 3).Draw(t, "who")
		r := Record{Holder: address(who), Kind: rapid.SampledFrom([]Kind{KindTake, KindRenew, KindRenew, KindRelease}).Draw(t, "kind")}
		if r.Kind == KindTake {
			fences[who] = offset
		} else {
			r.Fence = fences[who]
		}
		counted := r.Fence > 0 || r.Kind == KindTake
		counted = whole.Apply(offset, r) && counted
		if offset < begin {
			continue
		}
		tail.Apply(offset, r)
		// A release that counted before the tail began is not known to it.
		agreed = agreed || (counted && r.Kind == KindTake)
		if agreed && *tail != whole {
			t.Fatalf("after %d: %+v, whole %+v", offset, *tail, whole)
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, k := range []Kind{KindTake, KindRenew, KindRelease} {
		data, err := Encode(Record{Kind: k, Holder: address(1), Fence: 3, Sequence: 9})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := Decode(again); err != nil || back != r {
			t.Fatalf("%+v comes back as %+v: %v", r, back, err)
		}
	})
}
