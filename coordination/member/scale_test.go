package member

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// manyMembers returns as many instances as the size to design for has.
func manyMembers(count int) []netip.AddrPort {
	all := make([]netip.AddrPort, 0, count)
	for n := range count {
		all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 7000))
	}
	return all
}

// TestSameChoice holds the quick ways against the plain ranking of all members.
func TestSameChoice(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{0, 1, 3, 8, 200} {
		members := manyMembers(count)
		v := (&view{live: members}).hash()
		for n := range 200 {
			key := fmt.Sprintf("key %d", n)
			ranked := Ranked(key, members)
			for _, size := range []int{0, 1, 4, 300} {
				is.True(slices.Equal(Subset(key, members, size), ranked[:min(size, count)]))
			}
			is.Equal(v.steward(key), Rendezvous(key, members))
			if count > 0 {
				is.Equal(v.steward(key), ranked[0])
			}
		}
	}
}

func BenchmarkRendezvous(b *testing.B) {
	for _, count := range []int{8, 1600} {
		members := manyMembers(count)
		b.Run(fmt.Sprintf("one/%d", count), func(b *testing.B) {
			for b.Loop() {
				_ = Rendezvous("endpoint/10.2.3.4:8000", members)
			}
		})
		b.Run(fmt.Sprintf("steward/%d", count), func(b *testing.B) {
			v := (&view{live: members}).hash()
			for b.Loop() {
				_ = v.steward("endpoint/10.2.3.4:8000")
			}
		})
		b.Run(fmt.Sprintf("subset/%d", count), func(b *testing.B) {
			for b.Loop() {
				_ = Subset("lease.7", members, 4)
			}
		})
		b.Run(fmt.Sprintf("ranked/%d", count), func(b *testing.B) {
			for b.Loop() {
				_ = Ranked("catalogue", members)
			}
		})
	}
}
