package gossip

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	self     = netip.MustParseAddrPort("10.0.0.1:7200")
	other    = netip.MustParseAddrPort("10.0.0.2:7200")
	endpoint = netip.MustParseAddrPort("10.1.0.1:80")
	now      = time.Unix(1000, 0)
)

func TestTake(t *testing.T) {
	t.Run("uses of live instances add up", func(t *testing.T) {
		is := is.New(t)
		p := NewPeers(self)
		is.True(p.Apply(&Report{From: other, Start: 1, Sequence: 1, Uses: []Use{{Endpoint: endpoint, Running: 2, Memory: 300}}}, now))
		third := netip.MustParseAddrPort("10.0.0.3:7200")
		is.True(p.Apply(&Report{From: third, Start: 1, Sequence: 1, Uses: []Use{{Endpoint: endpoint, Running: 1, Memory: 100}}}, now))
		is.Equal(p.TotalUses(now)[endpoint], Use{Running: 3, Memory: 400})
		is.Equal(p.LiveCount(now), 2)
		is.Equal(len(p.TotalUses(now.Add(leastExpiry+1))), 0)
	})
	t.Run("late and own reports are dropped", func(t *testing.T) {
		is := is.New(t)
		p := NewPeers(self)
		is.True(p.Apply(&Report{From: other, Start: 2, Sequence: 5}, now))
		is.True(!p.Apply(&Report{From: other, Start: 2, Sequence: 5}, now))
		is.True(!p.Apply(&Report{From: other, Start: 1, Sequence: 9}, now))
		is.True(p.Apply(&Report{From: other, Start: 3, Sequence: 1}, now))
		is.True(!p.Apply(&Report{From: self, Start: 3, Sequence: 1}, now))
	})
	t.Run("newest catalogue", func(t *testing.T) {
		is := is.New(t)
		p := NewPeers(self)
		p.Apply(&Report{From: other, Start: 1, Sequence: 1, Catalogue: 7}, now)
		from, version := p.NewestCatalogue(now)
		is.Equal(from, other)
		is.Equal(version, int64(7))
		_, version = p.NewestCatalogue(now.Add(leastExpiry + 1))
		is.Equal(version, int64(0))
	})
}

func TestPartial(t *testing.T) {
	is := is.New(t)
	p := NewPeers(self)
	far := netip.MustParseAddrPort("10.1.0.2:80")
	p.Apply(&Report{From: other, Start: 1, Sequence: 1, Uses: []Use{{Endpoint: endpoint, Running: 2}, {Endpoint: far, Running: 1}}}, now)
	p.Apply(&Report{From: other, Start: 1, Sequence: 2, Partial: true, Uses: []Use{{Endpoint: far}, {Endpoint: endpoint, Running: 3}}}, now)
	is.Equal(p.TotalUses(now), map[netip.AddrPort]Use{endpoint: {Running: 3}})
	p.Apply(&Report{From: other, Start: 1, Sequence: 3, Partial: true}, now)
	is.Equal(p.TotalUses(now), map[netip.AddrPort]Use{endpoint: {Running: 3}})
	p.Apply(&Report{From: other, Start: 2, Sequence: 1, Partial: true}, now) // of another process, whose uses are not known
	is.Equal(len(p.TotalUses(now)), 0)
}

// An instance with runs at sixteen engines starts one more each 20 ms; plainly told, each report holds all sixteen.
func TestChanges(t *testing.T) {
	const starts = 90
	engine := func(n byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, n}), 80)
	}
	uses := func(started int) []Use {
		var all []Use
		for e := range 16 {
			all = append(all, Use{Endpoint: engine(byte(e)), Running: 1 + (started+e)/16, Samples: 1, Interval: time.Millisecond})
		}
		return all
	}
	t.Run("reports are small", func(t *testing.T) {
		is := is.New(t)
		c, told := NewDeltaTracker(), 0
		for s := range starts {
			picked, _ := c.Pick(uses(s), now.Add(time.Duration(s)*20*time.Millisecond))
			told += len(picked)
		}
		is.True(told <= (starts+16)*tellings)
	})
	t.Run("others know all, also when each second report is lost", func(t *testing.T) {
		is := is.New(t)
		c, p := NewDeltaTracker(), NewPeers(self)
		for s := range starts {
			at := now.Add(time.Duration(s) * 20 * time.Millisecond)
			r := &Report{From: other, Start: 1, Sequence: uint64(s + 1)}
			r.Uses, r.Partial = c.Pick(uses(s), at)
			if s%2 == 0 {
				p.Apply(r, at)
			}
		}
		running := 0
		for _, u := range p.TotalUses(now.Add(starts * 20 * time.Millisecond)) {
			running += u.Running
		}
		is.True(running >= 16+starts-2)
	})
	t.Run("an end is told", func(t *testing.T) {
		is := is.New(t)
		c := NewDeltaTracker()
		c.Pick(uses(0)[:1], now)
		picked, partial := c.Pick(nil, now.Add(time.Millisecond))
		is.True(partial)
		is.Equal(picked, []Use{{Endpoint: engine(0)}})
	})
}

// In a fleet of 300 each instance that polled the log each second would make 300 calls a second.
func TestReads(t *testing.T) {
	instance := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 7200)
	}
	const size = 300
	asking := func(away map[int]bool) (count, probes int) {
		for self := range size {
			p := NewPeers(instance(self))
			for n := range size {
				read := 100 * time.Millisecond
				if away[n] {
					read = 2 * readFresh
				}
				p.Apply(&Report{From: instance(n), Start: 1, Sequence: 1, ReadAge: read}, now)
			}
			if p.IsReader(now) && !away[self] {
				count++
			}
			if p.ShouldProbe(now) {
				probes++
			}
		}
		return count, probes
	}
	t.Run("few read", func(t *testing.T) {
		is := is.New(t)
		count, _ := asking(nil)
		is.Equal(count, readers)
	})
	t.Run("those that the log turns away are replaced", func(t *testing.T) {
		is := is.New(t)
		away := make(map[int]bool)
		for n := range size / 2 {
			away[n] = true
		}
		count, _ := asking(away)
		is.Equal(count, readers)
	})
	t.Run("few ask for a log that nobody reads", func(t *testing.T) {
		is := is.New(t)
		away := make(map[int]bool)
		for n := range size {
			away[n] = true
		}
		_, probes := asking(away)
		is.Equal(probes, readers)
	})
	t.Run("who hears of no reader reads", func(t *testing.T) {
		is := is.New(t)
		p := NewPeers(self)
		p.Apply(&Report{From: other, Start: 1, Sequence: 1, ReadAge: 0, LatestOffset: 7}, now)
		is.True(p.IsReader(now.Add(leastExpiry + 1)))
		is.Equal(p.LatestOffset(now), int64(7))
		is.Equal(p.LatestOffset(now.Add(leastExpiry+1)), int64(0))
	})
}

// Seventy instances in four data centres: told directly, each report crosses between them 52 times.
func TestTargets(t *testing.T) {
	const size, places = 70, 4
	place := func(n int) string { return string(rune('a' + n%places)) }
	instance := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(n)}), 7200)
	}
	peers := func(self, size int) *Peers {
		p := NewPeers(instance(self))
		for n := range size {
			p.Apply(&Report{From: instance(n), Start: 1, Sequence: 1, DataCentre: place(n)}, now)
		}
		return p
	}
	t.Run("each hears once, and few reports cross", func(t *testing.T) {
		is := is.New(t)
		heard, crossed := map[netip.AddrPort]int{}, 0
		for _, target := range peers(0, size).Targets(place(0), 1, now) {
			heard[target.Address]++
			at := int(target.Address.Addr().As4()[3])
			if place(at) == place(0) {
				continue
			}
			crossed++
			is.True(target.Forward)
			for _, a := range peers(at, size).LivePeersIn(place(at), now) {
				heard[a]++
			}
		}
		is.Equal(crossed, places-1)
		is.Equal(len(heard), size-1)
		for _, times := range heard {
			is.Equal(times, 1)
		}
	})
	t.Run("the one that passes on changes", func(t *testing.T) {
		is := is.New(t)
		seen := map[netip.AddrPort]bool{}
		for sequence := range uint64(20) {
			for _, target := range peers(0, size).Targets(place(0), sequence, now) {
				seen[target.Address] = seen[target.Address] || target.Forward
			}
		}
		passing := 0
		for _, forward := range seen {
			if forward {
				passing++
			}
		}
		is.True(passing >= 3*(places-1))
	})
	t.Run("small fleets and unknown instances directly", func(t *testing.T) {
		is := is.New(t)
		p := peers(0, 8)
		p.Add(instance(99), now)
		targets := p.Targets(place(0), 1, now)
		is.Equal(len(targets), 8)
		for _, target := range targets {
			is.True(!target.Forward)
		}
	})
}

func TestInterval(t *testing.T) {
	is := is.New(t)
	p := NewPeers(self)
	is.Equal(p.ReportInterval(), leastInterval)
	for i := range 600 {
		p.Add(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 1), now)
	}
	is.Equal(p.ReportInterval(), 10*time.Second)
}

func TestDecode(t *testing.T) {
	for name, use := range map[string]Use{"samples": {Samples: -1}, "held": {Held: -3}, "interval": {Interval: time.Hour}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			use.Endpoint = endpoint
			data, err := Encode(&Report{From: other, Start: 1, Sequence: 1, Uses: []Use{use}})
			is.NoErr(err)
			_, err = Decode(data)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), name))
		})
	}
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(&Report{From: other, Start: 1, Sequence: 1, Uses: []Use{{Endpoint: endpoint, Running: 2, Memory: 300}}, Leaving: []string{"i-1"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		p := NewPeers(self)
		p.Apply(r, now)
		for _, u := range p.TotalUses(now) {
			if u.Running < 0 || u.Memory < 0 {
				t.Fatal("negative use")
			}
		}
	})
}
