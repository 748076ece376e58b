package hosted

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/catalogue"
)

// Fifty instances of a data centre use subsets of its twenty-two engines and of a hundred others.
func TestSharers(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := &catalogue.Entry{Name: "model", Kind: catalogue.KindEngine}
	for n := range 122 {
		e := catalogue.Endpoint{Address: netip.MustParseAddrPort(fmt.Sprint("10.1.0.", n+1, ":80")), DataCentre: "a"}
		if n >= 22 {
			e.DataCentre = "b"
		}
		entry.Endpoints = append(entry.Endpoints, e)
	}
	var instances []netip.AddrPort
	uses := map[netip.AddrPort]map[netip.AddrPort]bool{} // engines that the router of each instance uses
	for n := range 50 {
		a := netip.MustParseAddrPort(fmt.Sprint("10.2.0.", n+1, ":7200"))
		instances = append(instances, a)
		r := routing.New(routing.Config{Self: a, DataCentre: "a"})
		r.SetEntry(entry, now)
		uses[a] = map[netip.AddrPort]bool{}
		for _, e := range r.Endpoints() {
			uses[a][e] = true
		}
	}
	s := newSharers("a")
	s.setEntry(entry)
	t.Run("the instances whose routers use an engine", func(t *testing.T) {
		is := is.New(t)
		for _, e := range entry.Endpoints[:22] {
			found := s.of([]netip.AddrPort{e.Address}, instances, now)
			is.True(len(found) > 0 && len(found) < len(instances))
			for _, a := range instances {
				is.Equal(found[a], uses[a][e.Address])
			}
		}
	})
	t.Run("no instance for an engine of another data centre", func(t *testing.T) {
		is := is.New(t)
		is.Equal(len(s.of([]netip.AddrPort{entry.Endpoints[50].Address}, instances, now)), 0)
	})
	t.Run("no instance once the entry is removed", func(t *testing.T) {
		is := is.New(t)
		s.removeEntry("model")
		is.Equal(len(s.of([]netip.AddrPort{entry.Endpoints[0].Address}, instances, now)), 0)
	})
}
