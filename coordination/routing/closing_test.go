package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
)

// An instance that is stopped must refuse what it can't serve whole, also what waits already, and serve the rest.
func TestClosing(t *testing.T) {
	now := time.Unix(1000, 0)
	long := func() *RequestSpec { return &RequestSpec{Entry: "e", PromptTokens: 10, MaximumTokens: 4000} }
	short := func() *RequestSpec { return &RequestSpec{Entry: "e", PromptTokens: 10, MaximumTokens: 20} }
	// full returns a core whose only slot is taken, and a long and a short request that wait.
	full := func(is *is.I) (c *Core, waiting [2]*Request) {
		c = newCore(1, 1, 1<<20, now)
		is.True(c.Place(short(), now).Running())
		waiting = [2]*Request{c.Submit(long(), now), c.Submit(short(), now)}
		c.Admit(now)
		is.True(!waiting[0].Running() && waiting[0].Refusal() == nil)
		return c, waiting
	}
	t.Run("what waits is refused once it can't end in time", func(t *testing.T) {
		is := is.New(t)
		c, waiting := full(is)
		c.SetClosing(now.Add(5 * time.Second))
		is.Equal(c.Admit(now), []*Request{waiting[0]})
		is.Equal(waiting[0].Refusal().Reason, ReasonDraining)
		is.True(waiting[0].Refusal().RetryAt.After(now))
		is.True(waiting[1].Refusal() == nil)
		c.Admit(now.Add(5 * time.Second))
		is.Equal(waiting[1].Refusal().Reason, ReasonDraining)
		is.Equal(c.queue.size, 0)
	})
	t.Run("what comes is judged likewise", func(t *testing.T) {
		is := is.New(t)
		c := newCore(1, 8, 1<<20, now)
		c.SetClosing(now.Add(5 * time.Second))
		is.Equal(c.Submit(long(), now).Refusal().Reason, ReasonDraining)
		is.True(c.Submit(short(), now).Refusal() == nil)
		is.Equal(len(c.Admit(now)), 1)
	})
	t.Run("a run that continues is not refused", func(t *testing.T) {
		is := is.New(t)
		c := newCore(1, 8, 1<<20, now)
		c.SetClosing(now)
		is.True(c.Place(long(), now).Running())
	})
	t.Run("a request whose answer has begun is not refused", func(t *testing.T) {
		is := is.New(t)
		c := newCore(1, 8, 1<<20, now)
		c.SetClosing(now)
		begun := long()
		begun.Begun = true
		c.Submit(begun, now)
		started := c.Admit(now)
		is.Equal(len(started), 1)
		is.True(started[0].Running())
	})
	t.Run("a request is not sent to an endpoint where it can't end in time, however that is chosen otherwise", func(t *testing.T) {
		is := is.New(t)
		c := newCore(2, 8, 1<<20, now)
		for range 200 {
			c.endpoints[address(1)].speed.Observe(1, 100*time.Millisecond)
			c.endpoints[address(2)].speed.Observe(1, 5*time.Millisecond)
		}
		c.SetClosing(now.Add(3 * time.Second))
		for range 3 {
			r := c.Submit(&RequestSpec{Entry: "e", PromptTokens: 10, MaximumTokens: 100}, now)
			is.Equal(len(c.Admit(now)), 1)
			is.Equal(r.Endpoint(), address(2))
		}
		c.SetLeaving(address(2), true)
		r := c.Submit(&RequestSpec{Entry: "e", PromptTokens: 10, MaximumTokens: 100}, now)
		is.Equal(r.Refusal().Reason, ReasonDraining)
	})
	t.Run("prompts that an endpoint is processing count", func(t *testing.T) {
		is := is.New(t)
		c := newCore(1, 8, 1<<20, now)
		c.SetClosing(now.Add(3 * time.Second))
		c.SetPeerLoad(PeerLoad{Endpoint: address(1), Runs: 4, Prompts: 4, PromptTokens: 40_000}, now)
		is.Equal(c.Submit(short(), now).Refusal().Reason, ReasonDraining)
	})
	t.Run("what waits for the end of a rest is judged by that", func(t *testing.T) {
		is := is.New(t)
		c := newCore(1, 8, 1<<20, now)
		c.SetClosing(now.Add(5 * time.Second))
		c.SetResting(address(1), now.Add(2*time.Second))
		is.True(c.Submit(short(), now).Refusal() == nil)
		c.SetResting(address(1), now.Add(4500*time.Millisecond))
		is.Equal(c.Submit(short(), now).Refusal().Reason, ReasonDraining)
	})
	t.Run("requests of plain services are judged by their target", func(t *testing.T) {
		is := is.New(t)
		c := NewCore(Config{})
		c.SetEntry(&catalogue.Entry{Name: "e", Kind: catalogue.KindService, Endpoints: engines(1)}, now)
		c.UpdateLoad(address(1), endpoint.Load{At: now}, now)
		c.SetClosing(now.Add(3 * time.Second))
		spec := &RequestSpec{Entry: "e", FirstTokenDeadline: now.Add(time.Second)}
		is.True(c.Submit(spec, now).Refusal() == nil)
		spec = &RequestSpec{Entry: "e", FirstTokenDeadline: now.Add(2 * time.Second)}
		is.Equal(c.Submit(spec, now).Refusal().Reason, ReasonDraining)
	})
	t.Run("repeats of plain requests are judged by their whole target, however late", func(t *testing.T) {
		is := is.New(t)
		c := NewCore(Config{})
		c.SetEntry(&catalogue.Entry{Name: "e", Kind: catalogue.KindService, Endpoints: engines(1)}, now)
		c.UpdateLoad(address(1), endpoint.Load{At: now}, now)
		c.SetClosing(now.Add(3 * time.Second))
		spec := &RequestSpec{Entry: "e", FirstTokenDeadline: now.Add(-time.Second), Target: 2 * time.Second}
		is.Equal(c.Submit(spec, now).Refusal().Reason, ReasonDraining)
		spec.Target = time.Second
		is.True(c.Submit(spec, now).Refusal() == nil)
	})
	t.Run("without a limit nothing is refused", func(t *testing.T) {
		is := is.New(t)
		c, waiting := full(is)
		c.Admit(now.Add(time.Second))
		is.True(waiting[0].Refusal() == nil)
	})
}

// Speeds are learned at the batches that the runs of all instances make. An instance that is stopped and has few runs of its own left took long streams
// late, by the speed that a batch of its own runs alone would have, and cut them at the end of the grace period.
func TestClosingByWholeBatch(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := newCore(1, 64, 1<<20, now)
	for _, runs := range []int{5, 10} {
		c.SetPeerLoad(PeerLoad{Endpoint: address(1), Runs: runs, Share: endpoint.Share{Slots: 64, Memory: 1 << 20, Spread: 1, Until: now.Add(time.Hour)}}, now)
		for range 400 {
			c.ObservePeerInterval(address(1), time.Duration(runs)*6*time.Millisecond, now)
		}
	}
	c.SetClosing(now.Add(4100 * time.Millisecond)) // 130 events take 7.8 s at the batch of ten
	taken := c.Submit(&RequestSpec{Entry: "e", PromptTokens: 10, MaximumTokens: 130}, now)
	is.True(taken.Refusal() != nil)
	is.Equal(taken.Refusal().Reason, ReasonDraining)
	is.True(c.Submit(&RequestSpec{Entry: "e", PromptTokens: 10, MaximumTokens: 20}, now).Refusal() == nil)

	// Batches that have just become small promise more than was ever seen.
	c.SetPeerLoad(PeerLoad{Endpoint: address(1), Share: endpoint.Share{Slots: 64, Memory: 1 << 20, Spread: 1, Until: now.Add(time.Hour)}}, now)
	taken = c.Submit(&RequestSpec{Entry: "e", PromptTokens: 10, MaximumTokens: 130}, now)
	is.True(taken.Refusal() != nil)
}
