package member

import (
	"cmp"
	"encoding/binary"
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
		if s := score(seed, m); outranks(s, m, bestScore, best) {
			best, bestScore = m, s
		}
	}
	return best
}

// outranks tells whether a member stands before another one, which may be none.
func outranks(score uint64, member netip.AddrPort, otherScore uint64, other netip.AddrPort) bool {
	return !other.IsValid() || score > otherScore || (score == otherScore && member.Compare(other) < 0)
}

// Subset returns the count members with the highest scores for the key, best first; it sorts no more than these.
func Subset(key string, of []netip.AddrPort, count int) []netip.AddrPort {
	count = max(0, min(count, len(of)))
	if count == 0 {
		return nil
	}
	best := make([]netip.AddrPort, 0, count)
	scores := make([]uint64, 0, count)
	seed := xxhash.Sum64String(key)
	for _, m := range of {
		s := score(seed, m)
		at := len(best)
		for at > 0 && outranks(s, m, scores[at-1], best[at-1]) {
			at--
		}
		if at == count {
			continue
		}
		if len(best) == count {
			best, scores = best[:count-1], scores[:count-1]
		}
		best, scores = slices.Insert(best, at, m), slices.Insert(scores, at, s)
	}
	return best
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

// score mixes the key's hash with the member's.
func score(seed uint64, member netip.AddrPort) uint64 {
	return mix(seed ^ hash(member))
}

// hash is the member's own part of its scores.
func hash(member netip.AddrPort) uint64 {
	address := member.Addr().As16()
	high, low := binary.BigEndian.Uint64(address[:8]), binary.BigEndian.Uint64(address[8:])
	return mix(high ^ mix(low^mix(uint64(member.Port()))))
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
