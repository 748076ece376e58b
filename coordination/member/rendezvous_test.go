package member

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func addresses(count int) []netip.AddrPort {
	all := make([]netip.AddrPort, 0, count)
	for i := range count {
		address := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		all = append(all, netip.AddrPortFrom(address, 7000))
	}
	return all
}

func TestRendezvous(t *testing.T) {
	t.Run("removalMovesOnlyItsKeys", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			members := addresses(rapid.IntRange(2, 40).Draw(t, "members"))
			gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
			rest := slices.Delete(slices.Clone(members), gone, gone+1)
			key := rapid.String().Draw(t, "key")
			before, after := Rendezvous(key, members), Rendezvous(key, rest)
			if before != members[gone] && before != after {
				t.Fatalf("%q moved from %s to %s", key, before, after)
			}
		})
	})
	t.Run("removalMovesAboutOneOfN", func(t *testing.T) {
		is := is.New(t)
		members := addresses(16)
		const keys = 16000
		moved := 0
		for i := range keys {
			key := fmt.Sprint("key", i)
			if Rendezvous(key, members) != Rendezvous(key, members[1:]) {
				moved++
			}
		}
		is.True(moved > keys/16*8/10 && moved < keys/16*12/10)
	})
	t.Run("subsetStartsWithSteward", func(t *testing.T) {
		is := is.New(t)
		members := addresses(9)
		is.Equal(Subset("a", members, 3)[0], Rendezvous("a", members))
		is.Equal(len(Subset("a", members, 30)), 9)
		is.Equal(len(Subset("a", nil, 3)), 0)
		is.True(!Rendezvous("a", nil).IsValid())
	})
}
