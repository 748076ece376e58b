package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/length"
)

// newCore gives a core with shares that are valid for an hour.
func newCore(count, slots, memory int, now time.Time) *Core {
	c := NewCore(Config{DataCentre: "a", Random: rand.New(rand.NewPCG(1, 2))})
	c.SetEntry(&catalogue.Entry{Name: "e", Kind: catalogue.KindEngine, Endpoints: engines(count)}, now)
	for n := range count {
		c.UpdateLoad(address(n+1), endpoint.Load{At: now, CapacityTokens: 1 << 20}, now)
		c.SetShare(address(n+1), endpoint.Share{Slots: slots, Memory: memory, Spread: 1, Until: now.Add(time.Hour)})
	}
	return c
}

// plainNext gives the submitted request that goes next, by a plain scan of all that wait.
func plainNext(waiting []*Flight, now time.Time) *Flight {
	var best *Flight
	for _, f := range waiting {
		if isHead(f, waiting) && (best == nil || goesBefore(f, best, now)) {
			best = f
		}
	}
	return best
}

// isHead tells whether no other of the same workspace and priority is due before the flight.
func isHead(f *Flight, waiting []*Flight) bool {
	for _, o := range waiting {
		same := o != f && o.ask.Workspace == f.ask.Workspace && o.ask.Priority == f.ask.Priority
		if same && (o.ask.Deadline.Before(f.ask.Deadline) || o.ask.Deadline.Equal(f.ask.Deadline) && o.submitted.Before(f.submitted)) {
			return false
		}
	}
	return true
}

func goesBefore(a, b *Flight, now time.Time) bool {
	first := func(f *Flight) int { return f.ask.Priority - int(now.Sub(f.submitted)/ageStep) }
	if first(a) != first(b) {
		return first(a) < first(b)
	}
	if a.service.Served != b.service.Served {
		return a.service.Served < b.service.Served
	}
	return a.submitted.Before(b.submitted)
}

// servedOf notes what the workspaces were served, before an admission charges them.
func servedOf(waiting []*Flight) map[string]float64 {
	served := make(map[string]float64)
	for _, f := range waiting {
		served[f.ask.Workspace] = f.service.Served
	}
	return served
}

// goesFirst tells whether a waiting request had to go before one that was just started.
func goesFirst(waiting, started *Flight, served map[string]float64, now time.Time) bool {
	before := started.service.Served
	started.service.Served = served[started.ask.Workspace]
	defer func() { started.service.Served = before }()
	return goesBefore(waiting, started, now)
}

func TestOrderMatchesPlainVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := newCore(1, 1, 1<<20, now)
		var waiting []*Flight
		var running *Flight
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if running != nil && rapid.Bool().Draw(t, "end") {
				for range rapid.IntRange(0, 200).Draw(t, "tokens") {
					c.Token(running, now)
				}
				c.Release(running, OutcomeFinished, now)
				running = nil
			} else {
				f := c.Submit(&Ask{
					Entry: "e", Workspace: fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "workspace")),
					Priority: rapid.IntRange(0, 1).Draw(t, "priority"), PromptTokens: 10,
					Deadline: now.Add(time.Hour + time.Duration(rapid.IntRange(0, 9).Draw(t, "patience"))*time.Second),
				}, now)
				waiting = append(waiting, f)
			}
			next, served := plainNext(waiting, now), servedOf(waiting)
			for _, f := range c.Admit(now) {
				if goesFirst(next, f, served, now) {
					t.Fatalf("started %s/%d, plainly %s/%d", f.ask.Workspace, f.ask.Priority, next.ask.Workspace, next.ask.Priority)
				}
				running = f
				for i, other := range waiting {
					if other == f {
						waiting = append(waiting[:i], waiting[i+1:]...)
						break
					}
				}
			}
		}
	})
}

func TestMemoryAdmission(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newCore(1, 100, 10_000, now)
	for range 200 {
		groups := c.lengths.Groups(length.Key{Entry: "e", Workspace: "w"})
		groups.Emitted(-1, 100)
		groups.Ended(100)
	}
	started := 0
	for range 50 {
		c.Submit(&Ask{Entry: "e", Workspace: "w", PromptTokens: 1000, MaximumTokens: 100}, now)
		started += len(c.Admit(now))
	}
	is.Equal(started, 9) // of 1,000 tokens that grow by 100 each
	is.True(math.Abs(c.order[0].profile.mean[0]-9000) < 1)
}

func TestFairAfterIdle(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newCore(1, 1, 1<<20, now)
	serve := func(workspace string) *Flight {
		return c.Submit(&Ask{Entry: "e", Workspace: workspace, PromptTokens: 1}, now)
	}
	counts := map[string]int{}
	for range 40 {
		serve("busy")
	}
	for n := range 60 {
		if n == 20 {
			for range 40 {
				serve("idleBefore")
			}
		}
		for _, f := range c.Admit(now) {
			if n >= 20 {
				counts[f.ask.Workspace]++
			}
			for range 32 {
				c.Token(f, now)
			}
			c.Release(f, OutcomeFinished, now)
			break
		}
	}
	is.True(counts["busy"] >= 18) // no credit for having been idle
	is.True(counts["idleBefore"] >= 18)
}

func TestLimits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newCore(1, 100, 1<<20, now)
	c.SetWorkspace(&catalogue.Workspace{Name: "w", Limits: catalogue.Limits{Concurrency: 2}})
	var running []*Flight
	for range 4 {
		c.Submit(&Ask{Entry: "e", Workspace: "w", Deadline: now.Add(time.Hour)}, now)
		running = append(running, c.Admit(now)...)
	}
	is.Equal(len(running), 2)
	c.Submit(&Ask{Entry: "e", Workspace: "other"}, now)
	is.Equal(len(c.Admit(now)), 1) // another workspace does not wait behind it
	f := c.Submit(&Ask{Entry: "e", Workspace: "w", Deadline: now.Add(time.Second)}, now)
	is.Equal(f.Refusal().Reason, ReasonWorkspaceLimit)
	is.True(f.Refusal().RetryAt.After(now))
}

func TestEjection(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newCore(4, 10, 1<<20, now)
	for range 40 {
		c.Submit(&Ask{Entry: "e", Workspace: "w"}, now)
		for _, f := range c.Admit(now) {
			outcome := OutcomeFinished
			if f.Endpoint() != address(4) {
				outcome = OutcomeFailed
			}
			c.Release(f, outcome, now)
		}
	}
	out := 0
	for _, a := range c.order {
		if a.health.Blocked(now) {
			out++
		}
	}
	is.Equal(out, 1) // three of four fail, but only a fraction may be ejected
}

func TestSubset(t *testing.T) {
	is := is.New(t)
	chosen := subset(address(1), "a", engines(4600), defaultSubset)
	is.Equal(len(chosen), defaultSubset)
	is.Equal(chosen, subset(address(1), "a", engines(4600), defaultSubset))
}

// decide submits, admits, emits and releases one request.
func decide(c *Core, n int, prefix []uint64, now time.Time) {
	c.Submit(&Ask{Entry: "e", Workspace: "w", PromptTokens: 500, Prefix: prefix}, now)
	for _, f := range c.Admit(now) {
		if f.emitted.Add(int32(n%64)) > 0 {
			c.Progress(f, now)
		}
		c.Release(f, OutcomeFinished, now)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{16, 64, 4600} {
		b.Run(fmt.Sprint("endpoints", count), func(b *testing.B) {
			now := time.Unix(1000, 0)
			c := newCore(count, 64, 1<<20, now)
			prefix := endpoint.Blocks(string(make([]byte, 8*endpoint.BlockBytes)))
			for range 16 * 32 {
				c.Submit(&Ask{Entry: "e", Workspace: "w", PromptTokens: 500}, now)
				c.Admit(now)
			}
			n := 0
			for b.Loop() {
				n++
				decide(c, n, prefix, now.Add(time.Duration(n)*time.Millisecond))
			}
		})
	}
}

func BenchmarkToken(b *testing.B) {
	now := time.Unix(1000, 0)
	c := newCore(16, 64, 1<<20, now)
	c.Submit(&Ask{Entry: "e", Workspace: "w"}, now)
	f := c.Admit(now)[0]
	n := 0
	for b.Loop() {
		n++
		c.Token(f, now.Add(time.Duration(n)*20*time.Millisecond))
	}
}

func TestServiceNeverWaitsForSlots(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := NewCore(Config{Instances: 8, Random: rand.New(rand.NewPCG(1, 2))})
	c.SetEntry(&catalogue.Entry{Name: "e", Kind: catalogue.KindService, Endpoints: engines(2)}, now)
	for range 20 {
		f := c.Submit(&Ask{Entry: "e", Workspace: "w", Deadline: now.Add(100 * time.Millisecond)}, now)
		is.Equal(f.Refusal(), nil)
		is.Equal(len(c.Admit(now)), 1)
	}
	is.Equal(c.order[0].running(), 10) // the pair's least in flight
}

// Each endpoint has refused the request: it is told so at once rather than queued to its deadline.
func TestAllExcluded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := NewCore(Config{})
	a := netip.MustParseAddrPort("10.0.0.1:80")
	c.SetEntry(&catalogue.Entry{Name: "e", Kind: catalogue.KindService, Endpoints: []catalogue.Endpoint{{Address: a}}}, now)
	f := c.Submit(&Ask{ID: "1", Entry: "e", Exclude: []netip.AddrPort{a}, Deadline: now.Add(time.Minute)}, now)
	is.True(f.Refusal() != nil)
	is.Equal(f.Refusal().Reason, ReasonNoEndpoint)
}
