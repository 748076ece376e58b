package routing

import (
	"testing"
	"time"

	"dogwooddyke/state/catalogue"
)

func TestRestingEndpoints(t *testing.T) {
	rest := func(p *permitCase, n int, lasts time.Duration) { p.core.SetResting(address(n), p.now.Add(lasts)) }
	t.Run("requests go to the others", func(t *testing.T) {
		p := newPermitCase(t, 0)
		rest(p, 1, time.Hour)
		for range 20 {
			r := p.submit()
			p.admit(0)
			p.is.Equal(r.Endpoint(), address(2))
		}
	})
	t.Run("a request waits for a rest that ends before its latest start", func(t *testing.T) {
		p := newPermitCase(t, 0)
		rest(p, 1, 900*time.Millisecond)
		rest(p, 2, time.Hour)
		r := p.submit()
		p.is.Equal(len(p.admit(899*time.Millisecond)), 0)
		p.is.Equal(p.admit(time.Millisecond), []*Request{r})
		p.is.Equal(r.Endpoint(), address(1))
	})
	t.Run("a request that waits is refused once the rest is extended beyond that", func(t *testing.T) {
		p := newPermitCase(t, 0)
		rest(p, 1, 900*time.Millisecond)
		rest(p, 2, time.Hour)
		r := p.submit()
		p.is.Equal(len(p.admit(100*time.Millisecond)), 0)
		rest(p, 1, 2*time.Second)
		p.is.Equal(p.admit(0), []*Request{r})
		p.is.Equal(r.Refusal().RetryAt, p.now.Add(2*time.Second))
	})
	t.Run("a request waits for a rest that ends in time", func(t *testing.T) {
		p := newPermitCase(t, 0)
		rest(p, 1, 80*time.Millisecond)
		rest(p, 2, time.Hour)
		r := p.submit()
		p.is.Equal(len(p.admit(79*time.Millisecond)), 0)
		p.is.Equal(p.admit(time.Millisecond), []*Request{r})
		p.is.Equal(r.Endpoint(), address(1))
	})
	t.Run("a request is refused at once if no rest ends in time, with the end of the first one", func(t *testing.T) {
		p := newPermitCase(t, 0)
		rest(p, 1, 3*time.Second)
		rest(p, 2, 2*time.Second)
		r := p.submit()
		p.is.Equal(p.admit(0), []*Request{r})
		p.is.Equal(r.Refusal().Reason, ReasonResting)
		p.is.Equal(r.Refusal().RetryAt, p.now.Add(2*time.Second))
	})
	t.Run("the earlier one of a rest's end and a permit counts", func(t *testing.T) {
		p := newPermitCase(t, 1)
		rest(p, 2, 2*time.Second)
		r := p.submit()
		p.admit(0)
		p.grant(p.ask(), 3*time.Second)
		p.is.Equal(p.admit(0), []*Request{r})
		p.is.Equal(r.Refusal().Reason, ReasonResting)
		p.is.Equal(r.Refusal().RetryAt, p.now.Add(2*time.Second))
	})
	t.Run("a run in progress is not sent there either", func(t *testing.T) {
		p := newPermitCase(t, 0)
		rest(p, 1, time.Second)
		rest(p, 2, time.Second)
		refused := p.core.Place(&RequestSpec{Entry: "e"}, p.now)
		p.is.Equal(refused.Refusal().Reason, ReasonResting)
		preferring := p.core.Place(&RequestSpec{Entry: "e", PreferredEndpoint: address(1)}, p.now)
		p.is.Equal(preferring.Refusal().Reason, ReasonResting)
		p.now = p.now.Add(time.Second)
		p.is.Equal(p.core.Place(&RequestSpec{Entry: "e", PreferredEndpoint: address(1)}, p.now).Endpoint(), address(1))
	})
	t.Run("a rest is extended, not cut short", func(t *testing.T) {
		p := newPermitCase(t, 0)
		p.core.ExtendRest(address(1), p.now.Add(3*time.Second))
		p.core.ExtendRest(address(1), p.now.Add(time.Second))
		p.is.Equal(p.core.endpoints[address(1)].restsUntil, p.now.Add(3*time.Second))
	})
}

func TestEndpointsThatMayBeLeaving(t *testing.T) {
	t.Run("requests go to the others", func(t *testing.T) {
		p := newPermitCase(t, 0)
		p.core.SetDoubted(address(1), true)
		for range 20 {
			r := p.submit()
			p.admit(0)
			p.is.Equal(r.Endpoint(), address(2))
		}
	})
	t.Run("requests go there if no other endpoint can take them", func(t *testing.T) {
		p := newPermitCase(t, 0)
		p.core.SetDoubted(address(1), true)
		p.core.SetResting(address(2), p.now.Add(time.Hour))
		r := p.submit()
		p.admit(0)
		p.is.Equal(r.Endpoint(), address(1))
	})
	t.Run("so do generations", func(t *testing.T) {
		p := newPermitCase(t, 0)
		p.core.SetEntry(&catalogue.Entry{Name: "e", Kind: catalogue.KindEngine, Endpoints: engines(2)}, p.now)
		p.core.SetDoubted(address(1), true)
		for range 4 {
			r := p.core.Submit(&RequestSpec{Entry: "e", PromptTokens: 10, MaximumTokens: 10}, p.now)
			p.admit(0)
			p.is.Equal(r.Endpoint(), address(2))
		}
		p.core.SetLeaving(address(2), true)
		r := p.core.Submit(&RequestSpec{Entry: "e", PromptTokens: 10, MaximumTokens: 10}, p.now)
		p.admit(0)
		p.is.Equal(r.Endpoint(), address(1))
	})
	t.Run("no backup is kept there", func(t *testing.T) {
		p := newPermitCase(t, 0)
		p.core.SetDoubted(address(1), true)
		r := p.submit()
		p.admit(0)
		_, found := p.core.ReserveBackup(r, p.now)
		p.is.True(!found)
	})
}
