package reclaim

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"dogwooddyke/coordination/handover"
)

const (
	instances     = 8
	tokenBytes    = 262144
	linkBits      = 38e9
	farDistance   = 2.0                   // times that a copy to another data centre takes longer
	meanMemory    = 3300                  // tokens of a run
	memorySpread  = 0.35                  // of the logarithm
	tokenStep     = 7 * time.Millisecond  // between two tokens of a run
	newsDelay     = 12 * time.Millisecond // until the others know that a run has left
	leastNotice   = 1500 * time.Millisecond
	noticeSpread  = 600 * time.Millisecond
	nearPresent   = 0.7                    // of reclaims, an engine in the same data centre has room
	nearChosen    = 0.5                    // of moves that may go anywhere, to that one
	longestPause  = 180 * time.Millisecond // of an answer that is still on time
	spacedGuess   = 1.4                    // the distance by which the policy spaced foresees copies
	copySetup     = time.Millisecond       // of each copy
	simulatedStep = time.Millisecond
)

// Outcome counts what became of runs.
type Outcome struct {
	Kept int // went on, on time
	Late int // went on after a pause that is too long
	Lost int
}

// Share gives a part of all runs.
func (o Outcome) Share(count int) float64 {
	return float64(count) / float64(max(o.Kept+o.Late+o.Lost, 1))
}

// run is one generation at the engine.
type run struct {
	id       string
	instance int
	memory   int
	far      bool // its copy goes to another data centre
	begin    time.Time
	begun    bool
	stopped  bool
	asked    time.Time // of the present copy
	copied   time.Time // end of the present copy; zero: none is being made
	latest   time.Time // end of the copy before
	left     time.Time // zero: it is still there
	pause    time.Duration
}

// scene is one engine from its notice to its end.
type scene struct {
	noticed time.Time
	gone    time.Time
	near    bool // an engine of the data centre has room
	runs    []*run
	free    time.Time // when the engine's link is
	random  *rand.Rand
}

// newScene draws an engine with about so many runs.
func newScene(random *rand.Rand, mean float64) *scene {
	s := &scene{noticed: time.Unix(1000, 0), near: random.Float64() < nearPresent, random: random}
	s.gone = s.noticed.Add(leastNotice + time.Duration(random.Int64N(int64(noticeSpread))))
	s.free = s.noticed
	for n := range poisson(random, mean) {
		memory := int(meanMemory * math.Exp(memorySpread*random.NormFloat64()))
		s.runs = append(s.runs, &run{id: string(rune('a' + n)), instance: random.IntN(instances), memory: memory, far: !s.near || random.Float64() >= nearChosen})
	}
	return s
}

func poisson(random *rand.Rand, mean float64) int {
	limit, product, count := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		count++
	}
	return count
}

func address(instance int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(1 + instance)}), 7200)
}

// span is how long the link takes for tokens of a run.
func (r *run) span(tokens int) time.Duration {
	link := handover.Link{TokenBytes: tokenBytes, BitsPerSecond: linkBits, Slowdown: 1}
	if r.far {
		link.Slowdown = farDistance
	}
	return link.CopyTime(tokens) + copySetup
}

// copyFrom queues a copy on the link.
func (s *scene) copyFrom(r *run, tokens int, now time.Time) {
	r.asked = now
	start := now
	if s.free.After(start) {
		start = s.free
	}
	r.copied = start.Add(r.span(tokens))
	s.free = r.copied
}

// play goes through the time of a scene with a policy.
func (s *scene) play(p policy) Outcome {
	p.plan(s)
	for now := s.noticed; now.Before(s.gone); now = now.Add(simulatedStep) {
		for _, r := range s.runs {
			s.step(r, p, now)
		}
	}
	var o Outcome
	for _, r := range s.runs {
		switch {
		case r.left.IsZero() || r.left.After(s.gone):
			o.Lost++
		case r.pause > longestPause:
			o.Late++
		default:
			o.Kept++
		}
	}
	return o
}

// step advances one run.
func (s *scene) step(r *run, p policy, now time.Time) {
	switch {
	case !r.left.IsZero():
	case !r.begun:
		if r.begun = p.begins(s, r, now); r.begun {
			s.copyFrom(r, r.memory, now)
		}
	case r.copied.IsZero():
		if now.Sub(r.latest) >= handover.CopyPause {
			s.copyFrom(r, r.fresh(now), now)
		}
	case now.Before(r.copied):
	case r.stopped:
		r.left, r.pause = now, now.Sub(r.asked)
	case p.stops(s, r, now):
		fresh := r.fresh(now)
		r.stopped = true
		s.copyFrom(r, fresh, now)
	default:
		r.latest, r.copied = now, time.Time{}
	}
}

// fresh gives the tokens that were made since the latest copy began.
func (r *run) fresh(now time.Time) int { return int(now.Sub(r.asked)/tokenStep) + 1 }
