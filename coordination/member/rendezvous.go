package member

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the member with the highest score for the key, so that removing one of n members moves about 1/n of the keys.
func Rendezvous(key string, members []netip.AddrPort) netip.AddrPort {
	var best netip.AddrPort
	var bestScore uint64
	seed := xxhash.Sum64String(key)
	for _, m := range members {
		s := score(seed, m)
		if !best.IsValid() || s > bestScore || (s == bestScore && m.Compare(best) < 0) {
			best, bestScore = m, s
		}
	}
	return best
}

// Subset returns the count members with the highest scores for the key, best first.
func Subset(key string, of []netip.AddrPort, count int) []netip.AddrPort {
	ranked := Ranked(key, of)
	return ranked[:max(0, min(count, len(ranked)))]
}

// Ranked returns all members by score for the key, best first.
func Ranked(key string, members []netip.AddrPort) []netip.AddrPort {
	type scored struct {
		score  uint64
		member netip.AddrPort
	}
	seed := xxhash.Sum64String(key)
	all := make([]scored, 0, len(members))
	for _, m := range members {
		all = append(all, scored{score: score(seed, m), member: m})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.member.Compare(b.member))
	})
	ranked := make([]netip.AddrPort, 0, len(all))
	for _, s := range all {
		ranked = append(ranked, s.member)
	}
	return ranked
}

// score mixes the key's hash with the member's, without allocation.
func score(seed uint64, member netip.AddrPort) uint64 {
	var raw [18]byte
	address := member.Addr().As16()
	copy(raw[:], address[:])
	raw[16], raw[17] = byte(member.Port()>>8), byte(member.Port())
	return mix(seed ^ mix(xxhash.Sum64(raw[:])))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
