package evacuation

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	link    = Link{TokenBytes: 262144, BitsPerSecond: 38e9, Slowdown: 1}
	noticed = time.Unix(1000, 0)
)

func instance(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7200)
}

// turns gives when each of the instances begins.
func turns(count byte, memory int, latest time.Duration) []time.Duration {
	var begins []time.Duration
	for self := byte(1); self <= count; self++ {
		var others []Participant
		for p := byte(1); p <= count; p++ {
			if p != self {
				others = append(others, Participant{instance(p), memory})
			}
		}
		begins = append(begins, Schedule(instance(self), memory, 0, others, "e", link, noticed, noticed.Add(latest)).Begin.Sub(noticed))
	}
	return begins
}

// copied counts the runs that are whole elsewhere before the endpoint is gone, where a link serves copies in the order they begin:
// each run needs its whole memory, and then its last part.
func copied(begins []time.Duration, span, gone time.Duration) int {
	free, done := time.Duration(0), 0
	type piece struct{ at, span time.Duration }
	var queue []piece
	for _, b := range begins {
		queue = append(queue, piece{b, span})
	}
	for len(queue) > 0 {
		next := 0
		for i := range queue {
			if queue[i].at < queue[next].at {
				next = i
			}
		}
		q := queue[next]
		queue = append(queue[:next], queue[next+1:]...)
		free = max(free, q.at) + q.span
		switch {
		case q.span == span:
			queue = append(queue, piece{free, span / 20})
		case free <= gone:
			done++
		}
	}
	return done
}

func TestTurn(t *testing.T) {
	span := link.CopyTime(4000)
	t.Run("more get away than at once", func(t *testing.T) {
		is := is.New(t)
		at := turns(7, 4000, 1400*time.Millisecond)
		atOnce := copied(make([]time.Duration, 7), span, 1500*time.Millisecond)
		inTurn := copied(at, span, 1500*time.Millisecond)
		is.Equal(atOnce, 0)
		is.True(inTurn >= 5)
	})
	t.Run("no two begin together", func(t *testing.T) {
		is := is.New(t)
		seen := map[time.Duration]bool{}
		for _, b := range turns(5, 4000, 1400*time.Millisecond) {
			is.True(!seen[b])
			is.True(b <= 1400*time.Millisecond)
			seen[b] = true
		}
	})
	t.Run("alone begins at once", func(t *testing.T) {
		is := is.New(t)
		is.Equal(Schedule(instance(1), 4000, 0, nil, "e", link, noticed, noticed.Add(time.Second)), Plan{Begin: noticed})
	})
	t.Run("too many are told to stay near", func(t *testing.T) {
		is := is.New(t)
		far := link
		far.Slowdown = 2
		three := []Participant{{instance(2), 4000}, {instance(3), 4000}}
		is.True(Schedule(instance(1), 4000, 0, three, "e", far, noticed, noticed.Add(time.Second)).LocalOnly)
		is.True(!Schedule(instance(1), 4000, 0, three[:1], "e", far, noticed, noticed.Add(time.Second)).LocalOnly)
	})
	t.Run("all before have left", func(t *testing.T) {
		is := is.New(t)
		ahead := 0
		for self := byte(1); self <= 3; self++ {
			var others []Participant
			for p := byte(1); p <= 3; p++ {
				if p != self {
					others = append(others, Participant{instance(p), 4000})
				}
			}
			ahead += TokensBefore(instance(self), others, "e")
		}
		is.Equal(ahead, (0+1+2)*4000)
		is.Equal(TokensBefore(instance(1), nil, "e"), 0)
	})
}

func TestOrder(t *testing.T) {
	is := is.New(t)
	runs := []Run{{"a", 5}, {"b", 3}, {"c", 3}}
	SortRuns(runs)
	is.Equal(runs, []Run{{"b", 3}, {"c", 3}, {"a", 5}})
}
