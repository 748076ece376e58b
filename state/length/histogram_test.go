package length

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// draw gives a lognormal length.
func draw(random *rand.Rand) int {
	return int(math.Exp(math.Log(400) + 0.9*random.NormFloat64()))
}

// covered gives the part of further draws that fall within the stated 90% of those longer than emitted.
func covered(h *Histogram, emitted int, random *rand.Rand) float64 {
	low, high := h.Quantile(emitted, 0.05), h.Quantile(emitted, 0.95)
	inside, total := 0, 0
	for total < 4000 {
		left := draw(random) - emitted
		if left <= 0 {
			continue
		}
		total++
		if left >= low && left <= high {
			inside++
		}
	}
	return float64(inside) / float64(total)
}

func TestCalibration(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	h := NewHistogram()
	for range 5000 {
		h.Observe(draw(random))
	}
	for _, emitted := range []int{0, 50, 300, 1000} {
		part := covered(h, emitted, random)
		t.Logf("after %d tokens: %.3f of the lengths within the stated 90%%", emitted, part)
		is.New(t).True(part > 0.87 && part < 0.93)
	}
}

func TestCensored(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(2, 2))
	whole, cut := NewHistogram(), NewHistogram()
	for range 5000 {
		length := draw(random)
		whole.Observe(length)
		if seen := random.IntN(1500); seen < length {
			cut.Emitted(-1, seen)
			continue
		}
		cut.Observe(length)
	}
	all, _ := whole.Remaining(0)
	mean, _ := cut.Remaining(0)
	is.True(math.Abs(mean-all) < 0.1*all) // lengths cut off by chance must not make the mean too short
}

func TestSurvival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHistogram()
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 200_000), 1, 60).Draw(t, "lengths") {
			h.Observe(n)
		}
		emitted := rapid.IntRange(0, 150_000).Draw(t, "emitted")
		previous := 1.0
		for further := 1; further < 200_000; further *= 3 {
			s := h.Survival(emitted, further)
			if s < 0 || s > previous {
				t.Fatalf("survival of %d after %d: %v, before it %v", further, emitted, s, previous)
			}
			previous = s
		}
		if mean, deviation := h.Remaining(emitted); !(mean >= 1) || !(deviation >= 0) {
			t.Fatalf("remaining after %d: %v, %v", emitted, mean, deviation)
		}
	})
}

func TestGroups(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	narrow := Key{Entry: "e", Class: "c", Workspace: "w"}
	for range minimumSamples {
		g := table.Groups(Key{Entry: "e", Class: "c", Workspace: "other"})
		g.Emitted(-1, 100)
		g.Ended(100)
	}
	g := table.Groups(narrow)
	is.Equal(g.Best(), g[1]) // the entry's, as the workspace has no ends of its own
	for range minimumSamples {
		g.Emitted(-1, 10)
		g.Ended(10)
	}
	is.Equal(g.Best(), g[0])
	for n := range 2 * maximumGroups {
		table.Groups(Key{Entry: "e", Workspace: string(rune(n + 1))})
	}
	is.True(len(table.groups) <= maximumGroups)
}
