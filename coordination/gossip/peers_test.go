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

func TestApply(t *testing.T) {
	t.Run("uses of live instances add up", func(t *testing.T) {
		is := is.New(t)
		p := NewPeers(self)
		is.True(p.Apply(&Report{From: other, Start: 1, Sequence: 1, Uses: []Use{{Endpoint: endpoint, Running: 2, Memory: 300}}}, now))
		third := netip.MustParseAddrPort("10.0.0.3:7200")
		is.True(p.Apply(&Report{From: third, Start: 1, Sequence: 1, Uses: []Use{{Endpoint: endpoint, Running: 1, Memory: 100}}}, now))
		is.Equal(p.TotalUses(now)[endpoint], Use{Running: 3, Memory: 400})
		is.Equal(p.LiveCount(now), 2)
		is.Equal(len(p.TotalUses(now.Add(minimumExpiry+1))), 0)
	})
	t.Run("reports that are stale or from this instance are dropped", func(t *testing.T) {
		is := is.New(t)
		p := NewPeers(self)
		is.True(p.Apply(&Report{From: other, Start: 2, Sequence: 5}, now))
		is.True(!p.Apply(&Report{From: other, Start: 2, Sequence: 5}, now))
		is.True(!p.Apply(&Report{From: other, Start: 1, Sequence: 9}, now))
		is.True(p.Apply(&Report{From: other, Start: 3, Sequence: 1}, now))
		is.True(!p.Apply(&Report{From: self, Start: 3, Sequence: 1}, now))
	})
	t.Run("newest catalogue of a live instance", func(t *testing.T) {
		is := is.New(t)
		p := NewPeers(self)
		p.Apply(&Report{From: other, Start: 1, Sequence: 1, Catalogue: 7}, now)
		from, version := p.NewestCatalogue(now)
		is.Equal(from, other)
		is.Equal(version, int64(7))
		_, version = p.NewestCatalogue(now.Add(minimumExpiry + 1))
		is.Equal(version, int64(0))
	})
}

func TestPartialReport(t *testing.T) {
	is := is.New(t)
	p := NewPeers(self)
	second := netip.MustParseAddrPort("10.1.0.2:80")
	p.Apply(&Report{From: other, Start: 1, Sequence: 1, Uses: []Use{{Endpoint: endpoint, Running: 2}, {Endpoint: second, Running: 1}}}, now)
	p.Apply(&Report{From: other, Start: 1, Sequence: 2, Partial: true, Uses: []Use{{Endpoint: second}, {Endpoint: endpoint, Running: 3}}}, now)
	is.Equal(p.TotalUses(now), map[netip.AddrPort]Use{endpoint: {Running: 3}})
	p.Apply(&Report{From: other, Start: 1, Sequence: 3, Partial: true}, now)
	is.Equal(p.TotalUses(now), map[netip.AddrPort]Use{endpoint: {Running: 3}})
	p.Apply(&Report{From: other, Start: 2, Sequence: 1, Partial: true}, now) // from a restarted process, whose uses are unknown
	is.Equal(len(p.TotalUses(now)), 0)
}

// A report that is sent directly overtakes earlier ones that are still on their way in a bundle.
func TestOvertakenReport(t *testing.T) {
	second, third := netip.MustParseAddrPort("10.1.0.2:80"), netip.MustParseAddrPort("10.1.0.3:80")
	full := &Report{From: other, Start: 1, Sequence: 1, Uses: []Use{{Endpoint: endpoint, Running: 1}}}
	t.Run("uses that later reports do not list are applied", func(t *testing.T) {
		is := is.New(t)
		p := NewPeers(self)
		p.Apply(full, now)
		p.Apply(&Report{From: other, Start: 1, Sequence: 4, Partial: true, Uses: []Use{{Endpoint: second, Running: 2}}}, now)
		is.True(!p.Apply(&Report{From: other, Start: 1, Sequence: 3, Partial: true, Uses: []Use{{Endpoint: second, Running: 9}, {Endpoint: third, Running: 3}}}, now))
		is.Equal(p.TotalUses(now), map[netip.AddrPort]Use{endpoint: {Running: 1}, second: {Running: 2}, third: {Running: 3}})
	})
	t.Run("a use that has ended stays ended", func(t *testing.T) {
		is := is.New(t)
		p := NewPeers(self)
		p.Apply(full, now)
		p.Apply(&Report{From: other, Start: 1, Sequence: 3, Partial: true, Uses: []Use{{Endpoint: endpoint}}}, now)
		p.Apply(&Report{From: other, Start: 1, Sequence: 2, Partial: true, Uses: []Use{{Endpoint: endpoint, Running: 2}}}, now)
		is.Equal(len(p.TotalUses(now)), 0)
	})
	t.Run("an overtaken full report ends the uses that it does not list", func(t *testing.T) {
		is := is.New(t)
		p := NewPeers(self)
		p.Apply(full, now)
		p.Apply(&Report{From: other, Start: 1, Sequence: 3, Partial: true, Uses: []Use{{Endpoint: second, Running: 2}}}, now)
		p.Apply(&Report{From: other, Start: 1, Sequence: 2, Uses: []Use{{Endpoint: third, Running: 1}}}, now)
		is.Equal(p.TotalUses(now), map[netip.AddrPort]Use{second: {Running: 2}, third: {Running: 1}})
	})
}

// TestDeltaTracker guards against reports that grow with the number of endpoints: an instance with runs at sixteen engines starts one more
// run every 20 ms, and without partial reports each report would list all sixteen.
func TestDeltaTracker(t *testing.T) {
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
	t.Run("few uses are reported", func(t *testing.T) {
		is := is.New(t)
		d, reported := NewDeltaTracker(), 0
		for s := range starts {
			picked, _ := d.Pick(uses(s), minimumFullInterval, now.Add(time.Duration(s)*20*time.Millisecond))
			reported += len(picked)
		}
		is.True(reported <= (starts+16)*reportsPerChange)
	})
	t.Run("every second report may be lost", func(t *testing.T) {
		is := is.New(t)
		d, p := NewDeltaTracker(), NewPeers(self)
		for s := range starts {
			at := now.Add(time.Duration(s) * 20 * time.Millisecond)
			r := &Report{From: other, Start: 1, Sequence: uint64(s + 1)}
			r.Uses, r.Partial = d.Pick(uses(s), minimumFullInterval, at)
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
	t.Run("the end of a use is reported", func(t *testing.T) {
		is := is.New(t)
		d := NewDeltaTracker()
		d.Pick(uses(0)[:1], minimumFullInterval, now)
		picked, partial := d.Pick(nil, minimumFullInterval, now.Add(time.Millisecond))
		is.True(partial)
		is.Equal(picked, []Use{{Endpoint: engine(0)}})
	})
}

// TestIsReader guards against a log overloaded by a large fleet: if each of 300 instances polled the log once a second, the log would
// receive 300 calls a second.
func TestIsReader(t *testing.T) {
	instance := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 7200)
	}
	const size = 300
	countReaders := func(refused map[int]bool) (count, probes int) {
		for self := range size {
			p := NewPeers(instance(self))
			for n := range size {
				readAge := 100 * time.Millisecond
				if refused[n] {
					readAge = 2 * maximumReadAge
				}
				p.Apply(&Report{From: instance(n), Start: 1, Sequence: 1, ReadAge: readAge}, now)
			}
			if p.IsReader(now) && !refused[self] {
				count++
			}
			if p.ShouldProbe(now) {
				probes++
			}
		}
		return count, probes
	}
	t.Run("only the maximum number of readers read", func(t *testing.T) {
		is := is.New(t)
		count, _ := countReaders(nil)
		is.Equal(count, maximumReaders)
	})
	t.Run("readers that the log refuses are replaced", func(t *testing.T) {
		is := is.New(t)
		refused := make(map[int]bool)
		for n := range size / 2 {
			refused[n] = true
		}
		count, _ := countReaders(refused)
		is.Equal(count, maximumReaders)
	})
	t.Run("few instances probe a log that no instance can read", func(t *testing.T) {
		is := is.New(t)
		refused := make(map[int]bool)
		for n := range size {
			refused[n] = true
		}
		_, probes := countReaders(refused)
		is.Equal(probes, maximumReaders)
	})
	t.Run("of a fleet that starts as a whole, only the maximum number of readers read", func(t *testing.T) {
		is := is.New(t)
		count := 0
		for self := range size {
			p := NewPeers(instance(self))
			for n := range size {
				p.Add(instance(n), now)
			}
			if p.IsReader(now) {
				count++
			}
			is.True(p.IsReader(now.Add(startGrace + 1)))
		}
		is.Equal(count, maximumReaders)
	})
	t.Run("an instance without live peers reads", func(t *testing.T) {
		is := is.New(t)
		p := NewPeers(self)
		p.Apply(&Report{From: other, Start: 1, Sequence: 1, ReadAge: 0, LatestOffset: 7}, now)
		is.True(p.IsReader(now.Add(minimumExpiry + 1)))
		is.Equal(p.Latest(now).Offset, int64(7))
		is.Equal(p.Latest(now.Add(minimumExpiry+1)).Offset, int64(0))
	})
}

// TestTargets guards against reports that cross between data centres too often: seventy instances run in four data centres, and a report
// that is sent to each of them directly would cross to another data centre 52 times.
func TestTargets(t *testing.T) {
	const size, dataCentres = 70, 4
	dataCentre := func(n int) string { return string(rune('a' + n%dataCentres)) }
	instance := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(n)}), 7200)
	}
	peers := func(self, size int) *Peers {
		p := NewPeers(instance(self))
		for n := range size {
			p.Apply(&Report{From: instance(n), Start: 1, Sequence: 1, DataCentre: dataCentre(n)}, now)
		}
		return p
	}
	t.Run("each instance receives a report once, and few copies cross between data centres", func(t *testing.T) {
		is := is.New(t)
		received, crossed := map[netip.AddrPort]int{}, 0
		for _, target := range peers(0, size).Targets(dataCentre(0), 1, now) {
			received[target.Address]++
			receiver := int(target.Address.Addr().As4()[3])
			if dataCentre(receiver) == dataCentre(0) {
				continue
			}
			crossed++
			is.Equal(target.Forwarding, ForwardAtOnce)
			for _, a := range peers(receiver, size).LivePeersIn(dataCentre(receiver), now) {
				received[a]++
			}
		}
		is.Equal(crossed, dataCentres-1)
		is.Equal(len(received), size-1)
		for _, count := range received {
			is.Equal(count, 1)
		}
	})
	t.Run("the forwarding instance changes", func(t *testing.T) {
		is := is.New(t)
		forwards := map[netip.AddrPort]bool{}
		for sequence := range uint64(20) {
			for _, target := range peers(0, size).Targets(dataCentre(0), sequence, now) {
				forwards[target.Address] = forwards[target.Address] || target.Forwarding == ForwardAtOnce
			}
		}
		forwarders := 0
		for _, forward := range forwards {
			if forward {
				forwarders++
			}
		}
		is.True(forwarders >= 3*(dataCentres-1))
	})
	t.Run("small fleets and instances without a report are sent to directly", func(t *testing.T) {
		is := is.New(t)
		p := peers(0, 8)
		p.Add(instance(99), now)
		targets := p.Targets(dataCentre(0), 1, now)
		is.Equal(len(targets), 8)
		for _, target := range targets {
			is.Equal(target.Forwarding, ForwardNone)
		}
	})
}

func TestReportInterval(t *testing.T) {
	is := is.New(t)
	p := NewPeers(self)
	is.Equal(p.ReportInterval(), minimumInterval)
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
