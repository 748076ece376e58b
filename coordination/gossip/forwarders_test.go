package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	fleetSize        = 300
	fleetDataCentres = 6
)

func fleetMember(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(n >> 8), byte(n)}), 7200)
}

func memberNumber(a netip.AddrPort) int {
	raw := a.Addr().As4()
	return int(raw[2])<<8 + int(raw[3])
}

func fleetDataCentre(n int) string { return string(rune('a' + n%fleetDataCentres)) }

// fleetPeers returns what one instance of a large fleet knows after all others have reported.
func fleetPeers(self int) *Peers {
	p := NewPeers(fleetMember(self))
	for n := range fleetSize {
		p.Apply(&Report{From: fleetMember(n), Start: 1, Sequence: 1, DataCentre: fleetDataCentre(n), Bundles: true}, now)
	}
	return p
}

// TestBundledTargets guards against messages that grow with the fleet: three hundred instances that send the start of each run to all others
// would send 300 messages a start.
func TestBundledTargets(t *testing.T) {
	peers := make([]*Peers, fleetSize)
	for n := range peers {
		peers[n] = fleetPeers(n)
	}
	t.Run("a report goes to one forwarder of the sender's data centre", func(t *testing.T) {
		is := is.New(t)
		forwarders := map[netip.AddrPort]bool{}
		for n, p := range peers {
			targets := p.Targets(fleetDataCentre(n), 1, now)
			is.Equal(len(targets), 1)
			is.Equal(targets[0].Forwarding, ForwardBundle)
			forwarder := memberNumber(targets[0].Address)
			is.Equal(fleetDataCentre(forwarder), fleetDataCentre(n))
			is.True(peers[forwarder].IsForwarder(fleetDataCentre(n), now))
			forwarders[targets[0].Address] = true
		}
		is.Equal(len(forwarders), fleetDataCentres*maximumForwarders)
	})
	t.Run("a bundle reaches each instance of the fleet once", func(t *testing.T) {
		is := is.New(t)
		forwarder := memberNumber(peers[0].Targets(fleetDataCentre(0), 1, now)[0].Address)
		received := map[netip.AddrPort]int{fleetMember(forwarder): 1}
		count := func(n int) {
			for _, a := range peers[n].BundleMembers(fleetDataCentre(n), now) {
				received[a]++
			}
		}
		count(forwarder)
		for _, a := range peers[forwarder].RemoteForwarders(fleetDataCentre(forwarder), now) {
			received[a]++
			count(memberNumber(a))
		}
		is.Equal(len(received), fleetSize)
		for _, times := range received {
			is.Equal(times, 1)
		}
	})
	t.Run("a forwarder that has been silent is passed over", func(t *testing.T) {
		is := is.New(t)
		p := fleetPeers(0)
		silent := p.Targets(fleetDataCentre(0), 1, now)[0].Address
		later := now.Add(maximumForwarderSilence + 1)
		for n := range fleetSize {
			if fleetMember(n) != silent {
				p.Apply(&Report{From: fleetMember(n), Start: 1, Sequence: 2, DataCentre: fleetDataCentre(n), Bundles: true}, later)
			}
		}
		is.True(p.Targets(fleetDataCentre(0), 2, later)[0].Address != silent)
	})
	t.Run("an instance that does not understand bundles is sent to directly", func(t *testing.T) {
		is := is.New(t)
		p := fleetPeers(0)
		p.Apply(&Report{From: fleetMember(7), Start: 1, Sequence: 2, DataCentre: fleetDataCentre(7)}, now)
		targets := p.Targets(fleetDataCentre(0), 1, now)
		is.Equal(len(targets), 2)
		is.Equal(targets[1], Target{Address: fleetMember(7)})
	})
	t.Run("a starting instance reports to a few listed ones, the same for all", func(t *testing.T) {
		is := is.New(t)
		contacts := map[netip.AddrPort]bool{}
		for n := range fleetSize {
			p := NewPeers(fleetMember(n))
			for m := range fleetSize {
				p.Add(fleetMember(m), now)
			}
			for _, target := range p.Targets(fleetDataCentre(n), 1, now) {
				if target.Address != fleetMember(n) {
					contacts[target.Address] = true
				}
			}
		}
		is.True(len(contacts) <= maximumContacts+1)
	})
}

// TestNextReport checks that readers and forwarders report often, and the other instances of a large fleet rarely.
func TestNextReport(t *testing.T) {
	is := is.New(t)
	often := 0
	for n := range fleetSize {
		p := fleetPeers(n)
		interval := p.NextReport(fleetDataCentre(n), now)
		if interval == readerInterval {
			often++
			is.True(p.IsForwarder(fleetDataCentre(n), now) || p.IsReader(now))
			continue
		}
		is.Equal(interval, p.ReportInterval())
	}
	is.True(often >= fleetDataCentres*maximumForwarders)
	is.True(often <= fleetDataCentres*maximumForwarders+maximumReaders)
}

func TestBundle(t *testing.T) {
	t.Run("remote reports stay in the data centre", func(t *testing.T) {
		is := is.New(t)
		var b Bundle
		b.AddLocal([]byte("local"))
		b.AddRemote([]byte("remote"))
		members, dataCentres := b.Take()
		is.Equal(members, [][]byte{[]byte("local"), []byte("remote")})
		is.Equal(dataCentres, [][]byte{[]byte("local")})
		members, dataCentres = b.Take()
		is.Equal(len(members)+len(dataCentres), 0)
	})
	t.Run("reports that are too long for one bundle are split", func(t *testing.T) {
		is := is.New(t)
		var reports [][]byte
		for range 40 {
			reports = append(reports, make([]byte, 1000))
		}
		bundles, err := EncodeBundles(reports)
		is.NoErr(err)
		is.True(len(bundles) > 1)
		count := 0
		for _, b := range bundles {
			decoded, err := DecodeBundle(b)
			is.NoErr(err)
			is.True(len(b) <= maximumBundleBytes+1024)
			count += len(decoded)
		}
		is.Equal(count, 40)
	})
	t.Run("a malformed bundle is an error", func(t *testing.T) {
		is := is.New(t)
		_, err := DecodeBundle([]byte("x"))
		is.True(err != nil)
	})
}

// TestTotalUses checks the running sums against what the reports say, with reports that are partial, repeated and expired.
func TestTotalUses(t *testing.T) {
	is := is.New(t)
	p := NewPeers(self)
	want := map[netip.AddrPort]Use{}
	for n := range 50 {
		for sequence := range uint64(3) {
			u := Use{Endpoint: fleetMember(n % 7), Running: n + int(sequence), Memory: 10 * n, Prompts: n}
			p.Apply(&Report{From: fleetMember(100 + n), Start: 1, Sequence: sequence + 1, Partial: sequence > 0, Uses: []Use{u}}, now)
		}
		s := want[fleetMember(n%7)]
		s.Running, s.Memory, s.Prompts = s.Running+n+2, s.Memory+10*n, s.Prompts+n
		want[fleetMember(n%7)] = s
	}
	is.Equal(p.TotalUses(now), want)
	is.Equal(len(p.TotalUses(now.Add(time.Minute))), 0)
	p.Apply(&Report{From: fleetMember(101), Start: 1, Sequence: 9, Partial: true}, now.Add(time.Minute))
	is.Equal(p.TotalUses(now.Add(time.Minute)), map[netip.AddrPort]Use{fleetMember(1): {Running: 3, Memory: 10}})
}
