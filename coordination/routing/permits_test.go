package routing

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/catalogue"
)

// permitCase is a core with two plain endpoints, of which the first ones limit their rates.
type permitCase struct {
	is      *is.I
	core    *Core
	now     time.Time
	signals int // calls of OnPermitsWanted
}

func newPermitCase(t *testing.T, limited int) *permitCase {
	p := &permitCase{is: is.New(t), now: time.Unix(1000, 0)}
	p.core = NewCore(Config{Random: rand.New(rand.NewPCG(1, 2)), OnPermitsWanted: func() { p.signals++ }})
	p.core.SetEntry(&catalogue.Entry{Name: "e", Kind: catalogue.KindService, Endpoints: engines(2)}, p.now)
	for n := range limited {
		p.core.SetRateLimit(address(n+1), true, 1)
	}
	return p
}

// submit submits a request whose answer is on time within 200 ms.
func (p *permitCase) submit() *Request {
	return p.core.Submit(&RequestSpec{Entry: "e", FirstTokenDeadline: p.now.Add(200 * time.Millisecond), Deadline: p.now.Add(time.Second)}, p.now)
}

// admit runs the admission after the duration and returns the decided requests.
func (p *permitCase) admit(after time.Duration) []*Request {
	p.now = p.now.Add(after)
	return p.core.Admit(p.now)
}

// ask returns the only ask that is due.
func (p *permitCase) ask() PermitAsk {
	asks := p.core.PermitAsks(p.now)
	p.is.Equal(len(asks), 1)
	return asks[0]
}

// grant answers an ask with permits that are valid for half a second after the delays.
func (p *permitCase) grant(a PermitAsk, retryAfter time.Duration, delays ...time.Duration) {
	g := PermitGrant{Endpoint: a.Endpoint, Urgent: a.Urgent, RetryAt: p.now.Add(retryAfter)}
	for _, d := range delays {
		g.Permits = append(g.Permits, Permit{From: p.now.Add(d), Until: p.now.Add(d + 500*time.Millisecond)})
	}
	p.core.Grant(g)
}

func TestPermits(t *testing.T) {
	t.Run("requests go to the endpoint without a limit, and ask ahead for the other", func(t *testing.T) {
		p := newPermitCase(t, 1)
		first := p.submit()
		p.is.Equal(len(p.admit(0)), 1)
		p.is.Equal(first.Endpoint(), address(2))
		p.is.True(p.signals > 0)
		a := p.ask()
		p.is.Equal(a, PermitAsk{Endpoint: address(1), Count: 1})
		p.is.Equal(len(p.core.PermitAsks(p.now)), 0) // one at a time
		p.grant(a, 0, 0)
		p.core.endpoints[address(2)].health.Eject(p.now)
		second := p.submit()
		p.admit(0)
		p.is.Equal(second.Endpoint(), address(1))
		p.is.Equal(len(p.core.endpoints[address(1)].quota.permits), 0)
	})
	t.Run("a request that only limited endpoints can take waits for a permit that comes in time", func(t *testing.T) {
		p := newPermitCase(t, 2)
		r := p.submit()
		p.is.Equal(len(p.admit(0)), 0)
		a := p.ask()
		p.is.Equal(a.Count, 1)
		p.is.Equal(a.Patience, 100*time.Millisecond)
		p.grant(a, time.Second, 80*time.Millisecond)
		p.is.Equal(len(p.admit(0)), 0)
		p.is.Equal(len(p.admit(80*time.Millisecond)), 1)
		p.is.Equal(r.Endpoint(), a.Endpoint)
	})
	t.Run("it is refused at once if all deny, with the time at which a permit may be had", func(t *testing.T) {
		p := newPermitCase(t, 2)
		r := p.submit()
		p.admit(0)
		p.grant(p.ask(), 3*time.Second)
		p.is.Equal(len(p.admit(0)), 0) // the other endpoint has not been asked
		p.grant(p.ask(), 2*time.Second)
		p.is.Equal(len(p.admit(0)), 1)
		p.is.Equal(r.Refusal().Reason, ReasonRateLimit)
		p.is.Equal(r.Refusal().RetryAt, p.now.Add(2*time.Second))
		p.is.Equal(len(p.core.PermitAsks(p.now)), 0)
	})
	t.Run("only as many requests wait as permits are to come", func(t *testing.T) {
		p := newPermitCase(t, 1)
		p.core.endpoints[address(2)].leavingByEvidence = true
		first := p.submit()
		second := p.submit()
		p.admit(0)
		a := p.ask()
		p.is.Equal(a.Count, 2)
		p.grant(a, time.Second, 50*time.Millisecond)
		p.is.Equal(p.admit(0), []*Request{second})
		p.is.Equal(second.Refusal().Reason, ReasonRateLimit)
		p.is.Equal(p.admit(50*time.Millisecond), []*Request{first})
		p.is.True(first.Running())
	})
	t.Run("an ask without an answer is given up", func(t *testing.T) {
		p := newPermitCase(t, 1)
		p.core.endpoints[address(2)].leavingByEvidence = true
		r := p.submit()
		p.admit(0)
		p.ask()
		p.now = p.now.Add(permitAskTimeout)
		p.is.Equal(len(p.core.PermitAsks(p.now)), 0)
		p.is.Equal(p.admit(0), []*Request{r})
		p.is.Equal(r.Refusal().RetryAt, p.now.Add(unansweredAskPause))
	})
	t.Run("a permit lapses", func(t *testing.T) {
		p := newPermitCase(t, 1)
		p.core.endpoints[address(2)].leavingByEvidence = true
		p.core.Grant(PermitGrant{Endpoint: address(1), Permits: []Permit{{From: p.now, Until: p.now.Add(time.Second)}}})
		p.now = p.now.Add(time.Second)
		p.submit()
		p.is.Equal(len(p.admit(0)), 0)
	})
	t.Run("the end of a limit admits what waits", func(t *testing.T) {
		p := newPermitCase(t, 2)
		r := p.submit()
		p.admit(0)
		p.core.SetRateLimit(address(1), false, 0)
		p.is.Equal(p.admit(0), []*Request{r})
		p.is.Equal(r.Endpoint(), address(1))
	})
}

func TestPermitsOfRunsInProgress(t *testing.T) {
	place := func(p *permitCase, preferred netip.AddrPort) *Request {
		return p.core.Place(&RequestSpec{Entry: "e", PreferredEndpoint: preferred, GeneratedTokens: 9}, p.now)
	}
	t.Run("they go elsewhere if they can", func(t *testing.T) {
		p := newPermitCase(t, 1)
		p.is.Equal(place(p, netip.AddrPort{}).Endpoint(), address(2))
	})
	t.Run("they ask for urgent permits, which new requests do not use", func(t *testing.T) {
		p := newPermitCase(t, 2)
		p.is.Equal(place(p, netip.AddrPort{}).Refusal().Reason, ReasonRateLimit)
		a := p.ask()
		p.is.True(a.Urgent)
		p.grant(a, 0, 0)
		p.submit()
		p.is.Equal(len(p.admit(0)), 0)
		p.is.Equal(place(p, netip.AddrPort{}).Endpoint(), a.Endpoint)
	})
	t.Run("one that continues from a backup waits for the permit of that endpoint", func(t *testing.T) {
		p := newPermitCase(t, 1)
		p.is.Equal(place(p, address(1)).Refusal().Reason, ReasonRateLimit)
		a := p.ask()
		p.is.Equal(a.Endpoint, address(1))
		p.grant(a, 0, 0)
		p.is.Equal(place(p, address(1)).Endpoint(), address(1))
	})
	t.Run("one that is sent without a permit is reported with the next ask", func(t *testing.T) {
		p := newPermitCase(t, 0)
		r := place(p, address(1))
		p.core.SetRateLimit(address(1), true, 1)
		p.core.endpoints[address(1)].quota.take(r, p.now) // sent once more
		p.core.endpoints[address(2)].leavingByEvidence = true
		p.submit()
		p.admit(0)
		p.is.Equal(p.ask().Spent, 1)
	})
}
