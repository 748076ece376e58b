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

// newCore returns a core with one entry of engines, whose shares are valid for an hour.
func newCore(count, slots, memory int, now time.Time) *Core {
	c := NewCore(Config{DataCentre: "a", Random: rand.New(rand.NewPCG(1, 2))})
	c.SetEntry(&catalogue.Entry{Name: "e", Kind: catalogue.KindEngine, Endpoints: engines(count)}, now)
	for n := range count {
		c.UpdateLoad(address(n+1), endpoint.Load{At: now, CapacityTokens: 1 << 20}, now)
		c.SetShare(address(n+1), endpoint.Share{Slots: slots, Memory: memory, Spread: 1, Until: now.Add(time.Hour)})
	}
	return c
}

// referenceNext returns the queued request that must start next, found by comparing all of them.
func referenceNext(waiting []*Request, now time.Time) *Request {
	var best *Request
	for _, r := range waiting {
		if isFirstOfFlow(r, waiting) && (best == nil || goesBefore(r, best, now)) {
			best = r
		}
	}
	return best
}

// isFirstOfFlow reports whether no other request of the same workspace and priority has an earlier deadline or, with an equal one, was
// submitted earlier.
func isFirstOfFlow(r *Request, waiting []*Request) bool {
	for _, o := range waiting {
		same := o != r && o.spec.Workspace == r.spec.Workspace && o.spec.Priority == r.spec.Priority
		if same && (o.spec.Deadline.Before(r.spec.Deadline) || o.spec.Deadline.Equal(r.spec.Deadline) && o.submitted.Before(r.submitted)) {
			return false
		}
	}
	return true
}

// goesBefore reports whether the first request must start before the second, if both are the first of their flows.
func goesBefore(a, b *Request, now time.Time) bool {
	agedPriority := func(r *Request) int { return r.spec.Priority - int(now.Sub(r.submitted)/ageingStep) }
	if agedPriority(a) != agedPriority(b) {
		return agedPriority(a) < agedPriority(b)
	}
	if a.workspaceAccount.Served != b.workspaceAccount.Served {
		return a.workspaceAccount.Served < b.workspaceAccount.Served
	}
	return a.submitted.Before(b.submitted)
}

// servedTokens returns the tokens served to each workspace, to be called before an admission charges them.
func servedTokens(waiting []*Request) map[string]float64 {
	servedBefore := make(map[string]float64)
	for _, r := range waiting {
		servedBefore[r.spec.Workspace] = r.workspaceAccount.Served
	}
	return servedBefore
}

// shouldHaveGoneFirst reports whether a queued request had to start before one that was just started, given the served tokens before.
func shouldHaveGoneFirst(waiting, started *Request, servedBefore map[string]float64, now time.Time) bool {
	servedAfter := started.workspaceAccount.Served
	started.workspaceAccount.Served = servedBefore[started.spec.Workspace]
	defer func() { started.workspaceAccount.Served = servedAfter }()
	return goesBefore(waiting, started, now)
}

func TestOrderMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := newCore(1, 1, 1<<20, now)
		var waiting []*Request
		var running *Request
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if running != nil && rapid.Bool().Draw(t, "end") {
				for range rapid.IntRange(0, 200).Draw(t, "tokens") {
					c.RecordToken(running, now)
				}
				c.Release(running, OutcomeFinished, now)
				running = nil
			} else {
				r := c.Submit(&RequestSpec{
					Entry: "e", Workspace: fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "workspace")),
					Priority: rapid.IntRange(0, 1).Draw(t, "priority"), PromptTokens: 10,
					Deadline: now.Add(time.Hour + time.Duration(rapid.IntRange(0, 9).Draw(t, "patience"))*time.Second),
				}, now)
				waiting = append(waiting, r)
			}
			next, servedBefore := referenceNext(waiting, now), servedTokens(waiting)
			for _, r := range c.Admit(now) {
				if shouldHaveGoneFirst(next, r, servedBefore, now) {
					t.Fatalf("started %s/%d, want %s/%d", r.spec.Workspace, r.spec.Priority, next.spec.Workspace, next.spec.Priority)
				}
				running = r
				for i, other := range waiting {
					if other == r {
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
		groups := c.lengthTable.Groups(length.Key{Entry: "e", Workspace: "w"})
		groups.Emitted(-1, 100)
		groups.Ended(100)
	}
	started := 0
	for range 50 {
		c.Submit(&RequestSpec{Entry: "e", Workspace: "w", PromptTokens: 1000, MaximumTokens: 100}, now)
		started += len(c.Admit(now))
	}
	is.Equal(started, 9) // 10,000 tokens of memory, each request has 1,000 and grows by 100
	is.True(math.Abs(c.sortedEndpoints[0].profile.mean[0]-9000) < 1)
}

func TestFairAfterIdle(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newCore(1, 1, 1<<20, now)
	submit := func(workspace string) *Request {
		return c.Submit(&RequestSpec{Entry: "e", Workspace: workspace, PromptTokens: 1}, now)
	}
	counts := map[string]int{}
	for range 40 {
		submit("busy")
	}
	for n := range 60 {
		if n == 20 {
			for range 40 {
				submit("idleBefore")
			}
		}
		for _, r := range c.Admit(now) {
			if n >= 20 {
				counts[r.spec.Workspace]++
			}
			for range 32 {
				c.RecordToken(r, now)
			}
			c.Release(r, OutcomeFinished, now)
			break
		}
	}
	is.True(counts["busy"] >= 18) // the other workspace gets no credit for the time when it was idle
	is.True(counts["idleBefore"] >= 18)
}

func TestLimits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newCore(1, 100, 1<<20, now)
	c.SetWorkspace(&catalogue.Workspace{Name: "w", Limits: catalogue.Limits{Concurrency: 2}})
	var running []*Request
	for range 4 {
		c.Submit(&RequestSpec{Entry: "e", Workspace: "w", Deadline: now.Add(time.Hour)}, now)
		running = append(running, c.Admit(now)...)
	}
	is.Equal(len(running), 2)
	c.Submit(&RequestSpec{Entry: "e", Workspace: "other"}, now)
	is.Equal(len(c.Admit(now)), 1) // the limits of one workspace don't delay another
	r := c.Submit(&RequestSpec{Entry: "e", Workspace: "w", Deadline: now.Add(time.Second)}, now)
	is.Equal(r.Refusal().Reason, ReasonWorkspaceLimit)
	is.True(r.Refusal().RetryAt.After(now))
}

func TestEjection(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newCore(4, 10, 1<<20, now)
	for range 40 {
		c.Submit(&RequestSpec{Entry: "e", Workspace: "w"}, now)
		for _, r := range c.Admit(now) {
			outcome := OutcomeFinished
			if r.Endpoint() != address(4) {
				outcome = OutcomeFailed
			}
			c.Release(r, outcome, now)
		}
	}
	ejected := 0
	for _, e := range c.sortedEndpoints {
		if e.health.Blocked(now) {
			ejected++
		}
	}
	is.Equal(ejected, 1) // three of four endpoints fail, but only a fraction may be ejected
}

func TestSubset(t *testing.T) {
	is := is.New(t)
	chosen := subset(address(1), "a", engines(4600), defaultSubsetSize)
	is.Equal(len(chosen), defaultSubsetSize)
	is.Equal(chosen, subset(address(1), "a", engines(4600), defaultSubsetSize))
}

// runOne submits, admits, runs and releases one request.
func runOne(c *Core, n int, prefix []uint64, now time.Time) {
	c.Submit(&RequestSpec{Entry: "e", Workspace: "w", PromptTokens: 500, Prefix: prefix}, now)
	for _, r := range c.Admit(now) {
		if r.emittedTokens.Add(int32(n%64)) > 0 {
			c.RecordProgress(r, now)
		}
		c.Release(r, OutcomeFinished, now)
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{16, 64, 4600} {
		b.Run(fmt.Sprint("endpoints", count), func(b *testing.B) {
			now := time.Unix(1000, 0)
			c := newCore(count, 64, 1<<20, now)
			prefix := endpoint.Blocks(string(make([]byte, 8*endpoint.BlockBytes)))
			for range 16 * 32 {
				c.Submit(&RequestSpec{Entry: "e", Workspace: "w", PromptTokens: 500}, now)
				c.Admit(now)
			}
			n := 0
			for b.Loop() {
				n++
				runOne(c, n, prefix, now.Add(time.Duration(n)*time.Millisecond))
			}
		})
	}
}

func BenchmarkToken(b *testing.B) {
	now := time.Unix(1000, 0)
	c := newCore(16, 64, 1<<20, now)
	c.Submit(&RequestSpec{Entry: "e", Workspace: "w"}, now)
	r := c.Admit(now)[0]
	n := 0
	for b.Loop() {
		n++
		c.RecordToken(r, now.Add(time.Duration(n)*20*time.Millisecond))
	}
}

func TestServiceNeverWaitsForSlots(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := NewCore(Config{Instances: 8, Random: rand.New(rand.NewPCG(1, 2))})
	c.SetEntry(&catalogue.Entry{Name: "e", Kind: catalogue.KindService, Endpoints: engines(2)}, now)
	for range 20 {
		r := c.Submit(&RequestSpec{Entry: "e", Workspace: "w", Deadline: now.Add(100 * time.Millisecond)}, now)
		is.Equal(r.Refusal(), nil)
		is.Equal(len(c.Admit(now)), 1)
	}
	is.Equal(c.sortedEndpoints[0].running(), 10) // the endpoint with fewer requests of each pair is chosen
}

// TestAllExcluded guards against queueing a request until its deadline after every endpoint has refused it.
func TestAllExcluded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := NewCore(Config{})
	a := netip.MustParseAddrPort("10.0.0.1:80")
	c.SetEntry(&catalogue.Entry{Name: "e", Kind: catalogue.KindService, Endpoints: []catalogue.Endpoint{{Address: a}}}, now)
	r := c.Submit(&RequestSpec{ID: "1", Entry: "e", Exclude: []netip.AddrPort{a}, Deadline: now.Add(time.Minute)}, now)
	is.True(r.Refusal() != nil)
	is.Equal(r.Refusal().Reason, ReasonNoEndpoint)
}
