package load

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/settings"
)

func TestProfile(t *testing.T) {
	for _, name := range []string{"islaget", "gyeongsan"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := OpenProfile(name)
			is.NoErr(err)
			is.Equal(p.Name, name)
			is.Equal(len(p.Mixes), 5)
			is.Equal(len(p.Workspaces), 4)
		})
	}
	t.Run("everyFault", func(t *testing.T) {
		is := is.New(t)
		_, err := ParseProfile("p.ini", []byte(`
[profile]
name = p
burstFactor = 0.5
burstLength = soon
calmLength = 1s
stallBound = 1s
colour = red
[workspace w]
share = 1
[mix m]
kind = shout
entry = e
share = 1
[other]
`))
		fault, ok := errors.AsType[settings.Faults](err)
		is.True(ok)
		var fields []string
		for _, f := range fault {
			fields = append(fields, f.Section+"."+f.Field)
		}
		is.Equal(slices.Compact(fields), []string{"profile.burstFactor", "profile.burstLength", "profile.colour", "workspace w.key", "mix m.kind", "other."})
	})
}

func TestPlan(t *testing.T) {
	p, err := OpenProfile("islaget")
	if err != nil {
		t.Fatal(err)
	}
	t.Run("sameSeedSameRequests", func(t *testing.T) {
		is := is.New(t)
		first, second := NewPlan(p, 50, 3, 9), NewPlan(p, 50, 3, 9)
		for range 500 {
			a, b := first.Next(), second.Next()
			a.Key, b.Key = "", "" // carry the time
			is.Equal(a, b)
		}
	})
	t.Run("meanRate", func(t *testing.T) {
		is := is.New(t)
		a := NewArrivals(100, p.Shape, rand.New(rand.NewPCG(1, 1)))
		var last time.Duration
		const count = 200_000
		for range count {
			last = a.Next()
		}
		rate := count / last.Seconds()
		is.True(rate > 95 && rate < 105)
	})
	t.Run("heavyTail", func(t *testing.T) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(1, 1))
		tokens := Tokens{Median: 100, Sigma: 0.9, Maximum: 2000}
		long := 0
		for range 10_000 {
			length := tokens.Draw(r)
			is.True(length >= 1 && length <= 2000)
			if length > 500 {
				long++
			}
		}
		is.True(long > 200 && long < 600) // 3.7% by the distribution
	})
}
