package resumption

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/stream"
)

// node is one instance of a test; its messages take a millisecond.
type node struct {
	*Exchange
	world *world
	self  netip.AddrPort
	down  bool
	view  View
}

// world is the instances of a test.
type world struct {
	t     *testing.T
	nodes []*node
	mutex sync.Mutex  // guards the fields below
	lost  func() bool // whether a message is lost
	sent  int
}

func newWorld(t *testing.T, count int) *world {
	w := &world{t: t, lost: func() bool { return false }}
	for n := range count {
		x := &node{world: w, self: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7200)}
		x.view = View{Versions: []string{"v1", "v2"}, Fresh: true, Span: time.Hour}
		x.restart()
		w.nodes = append(w.nodes, x)
	}
	return w
}

// restart begins a process that knows nothing.
func (n *node) restart() {
	n.down = false
	n.Exchange = NewExchange(Config{Self: n.self, Fleet: n, Services: n, Network: n, Observer: n, Span: time.Minute})
}

func (n *node) Live() ([]netip.AddrPort, bool) {
	var live []netip.AddrPort
	for _, o := range n.world.nodes {
		if o != n && !o.down {
			live = append(live, o.self)
		}
	}
	return live, len(n.world.nodes) > 1
}

func (n *node) View(string) View { return n.view }

func (n *node) StreamMessageUnreadable(err error) { n.world.t.Error(err) }

func (n *node) send(to netip.AddrPort, deliver func(o *node)) {
	n.world.mutex.Lock()
	defer n.world.mutex.Unlock()
	n.world.sent++
	at := slices.IndexFunc(n.world.nodes, func(o *node) bool { return o.self == to })
	if o := n.world.nodes[at]; !n.world.lost() {
		time.AfterFunc(time.Millisecond, func() {
			if !o.down {
				deliver(o)
			}
		})
	}
}

func (n *node) SendBeginnings(to netip.AddrPort, data []byte) {
	n.send(to, func(o *node) { o.ReceiveBeginnings(data, time.Now()) })
}

func (n *node) SendStreamQuestion(to netip.AddrPort, data []byte) {
	n.send(to, func(o *node) { o.ReceiveQuestion(data, time.Now()) })
}

func (n *node) SendStreamAnswer(to netip.AddrPort, data []byte) {
	n.send(to, func(o *node) { o.ReceiveAnswer(data) })
}

// begin has streams begin at the first instance, at two versions in turn.
func (w *world) begin(count int) {
	for n := range count {
		w.nodes[0].Began(stream.Of("w", fmt.Sprint(n)), "s", fmt.Sprint("v", 1+n%2), time.Now().Add(10*time.Second), time.Now())
	}
	settle()
}

// settle waits until all messages have arrived.
func settle() {
	time.Sleep(10 * time.Millisecond)
	synctest.Wait()
}

// found returns how many of the streams an instance finds; each of those at its own version.
func (w *world) found(at *node, count int) int {
	is, known := is.New(w.t), 0
	for n := range count {
		version, source := at.Find(w.t.Context(), stream.Of("w", fmt.Sprint(n)), "s")
		if source != SourceNone {
			known++
			is.Equal(version, fmt.Sprint("v", 1+n%2))
		}
	}
	return known
}

func TestBeginningsAreFound(t *testing.T) {
	const streams = 100
	for _, c := range []struct {
		name  string
		nodes int
		set   func(w *world)
		least int
	}{
		{"at each instance", 7, func(*world) {}, streams},
		{"in a large fleet", 300, func(*world) {}, streams},
		{"after the instance that served them has ended", 7, func(w *world) { w.nodes[0].down = true }, streams},
		{"after it and another one have ended", 7, func(w *world) { w.nodes[0].down, w.nodes[1].down = true, true }, streams},
		{"after all others have started again in turn, while it serves", 7, func(w *world) {
			for _, n := range w.nodes[1:] {
				n.restart()
				for _, o := range w.nodes {
					if o != n {
						o.Welcome(n.self, time.Now())
					}
				}
				settle()
			}
			w.nodes[0].down = true
		}, streams},
		{"with each tenth message lost", 7, func(w *world) {
			sent := 0
			w.lost = func() bool {
				sent++
				return sent%10 == 0
			}
		}, streams},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, c.nodes)
				w.begin(streams)
				c.set(w)
				for _, n := range w.nodes[2:7] {
					is.True(w.found(n, streams) >= c.least)
				}
			})
		})
	}
}

func TestFind(t *testing.T) {
	id := stream.Of("w", "r")
	t.Run("returns no version of a stream that nobody knows while two serve", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 5)
			began := time.Now()
			_, source := w.nodes[1].Find(t.Context(), id, "s")
			is.Equal(source, SourceNone)
			is.True(time.Since(began) < askTimeout) // all have answered
		})
	})
	t.Run("returns the only version if nobody knows the stream", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 5)
			for _, n := range w.nodes {
				n.view.Versions = []string{"v1"}
			}
			version, source := w.nodes[1].Find(t.Context(), id, "s")
			is.Equal(source, SourceOnly)
			is.Equal(version, "v1")
		})
	})
	t.Run("does not wait for long for instances that have ended", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 5)
			w.lost = func() bool { return true }
			began := time.Now()
			_, source := w.nodes[1].Find(t.Context(), id, "s")
			is.Equal(source, SourceNone)
			is.True(time.Since(began) <= askAttempts*askTimeout)
		})
	})
	t.Run("does not find a stream of another service or workspace", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 5)
			w.nodes[0].Began(id, "s", "v1", time.Now().Add(time.Second), time.Now())
			settle()
			for _, at := range w.nodes {
				_, source := at.Find(t.Context(), id, "other")
				is.Equal(source, SourceNone)
				_, source = at.Find(t.Context(), stream.Of("x", "r"), "s")
				is.Equal(source, SourceNone)
			}
		})
	})
	t.Run("forgets a stream some time after its deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 5)
			w.nodes[0].Began(id, "s", "v1", time.Now().Add(time.Second), time.Now())
			time.Sleep(time.Second + returnTime + time.Second)
			for _, at := range w.nodes {
				_, source := at.Find(t.Context(), id, "s")
				is.Equal(source, SourceNone)
			}
		})
	})
}

// The messages for one stream do not grow with the fleet.
func TestMessagesPerStream(t *testing.T) {
	for _, count := range []int{8, 300, 1600} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, count)
				w.begin(100)
				is.Equal(w.sent, 100*keepers)
			})
		})
	}
}

func TestMessageChecks(t *testing.T) {
	good := Record{Service: "s", Version: "v1", Left: time.Second}
	for name, m := range map[string]interface{ Check() error }{
		"no service":        &Notice{Records: []Record{{Version: "v1"}}},
		"no version":        &Notice{Records: []Record{{Service: "s"}}},
		"a negative time":   &Notice{Records: []Record{{Service: "s", Version: "v1", Left: -1}}},
		"too long":          &Notice{Records: []Record{{Service: "s", Version: "v1", Left: time.Hour}}},
		"too many records":  &Notice{Records: slices.Repeat([]Record{good}, maximumRecords+1)},
		"no sender":         &Question{},
		"an odd answer":     &Answer{},
		"too many versions": &Answer{From: netip.MustParseAddrPort("10.0.0.1:1"), Versions: make([]string, maximumListed+1)},
		"a negative span":   &Answer{From: netip.MustParseAddrPort("10.0.0.1:1"), Span: -1},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).True(m.Check() != nil) })
	}
	is.New(t).NoErr((&Notice{Records: []Record{good}}).Check())
}
