package length

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawLength returns a lognormally distributed length.
func drawLength(random *rand.Rand) int {
	return int(math.Exp(math.Log(400) + 0.9*random.NormFloat64()))
}

// coverage returns the fraction of further draws longer than emitted that fall within the 90% interval of the histogram, which is from its
// 5% to its 95% quantile.
func coverage(h *Histogram, emitted int, random *rand.Rand) float64 {
	low, high := h.Quantile(emitted, 0.05), h.Quantile(emitted, 0.95)
	inside, total := 0, 0
	for total < 4000 {
		left := drawLength(random) - emitted
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
		h.Observe(drawLength(random))
	}
	for _, emitted := range []int{0, 50, 300, 1000} {
		part := coverage(h, emitted, random)
		t.Logf("after %d tokens: %.3f of the lengths within the 90%% interval", emitted, part)
		is.New(t).True(part > 0.87 && part < 0.93)
	}
}

func TestCensored(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(2, 2))
	whole, censored := NewHistogram(), NewHistogram()
	for range 5000 {
		length := drawLength(random)
		whole.Observe(length)
		if seen := random.IntN(1500); seen < length {
			censored.Emitted(-1, seen)
			continue
		}
		censored.Observe(length)
	}
	all, _ := whole.Remaining(0)
	mean, _ := censored.Remaining(0)
	is.True(math.Abs(mean-all) < 0.1*all) // generations that are cut off at random must not bias the mean towards short lengths
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
				t.Fatalf("survival of %d further tokens after %d: got %v, want 0 to %v", further, emitted, s, previous)
			}
			previous = s
		}
		if mean, deviation := h.Remaining(emitted); !(mean >= 1) || !(deviation >= 0) {
			t.Fatalf("remaining tokens after %d: mean %v, deviation %v", emitted, mean, deviation)
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
	is.Equal(g.Best(), g[1]) // the group of the entry and class, as no generation of this workspace has ended
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
