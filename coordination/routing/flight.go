package routing

import (
	"net/netip"
	"sync/atomic"
	"time"

	"dogwooddyke/state/length"
	"dogwooddyke/state/workspace"
)

type phase int

const (
	phaseQueued phase = iota
	phaseRunning
	phaseOver
)

// Request is one request from its submission to its end.
type Request struct {
	ask      *RequestSpec
	pool     *pool
	line     *line
	account  *account
	copied   *account // holds a copy of the run's memory; nil: none does
	groups   length.Groups
	lengths  *length.Histogram // of the groups, the one to rely on
	service  *workspace.Account
	limiters [2]*workspace.Limiter // of the workspace, and of the workspace on the entry
	phase    phase
	refusal  *RefusalError
	decision Decision
	decided  chan struct{} // closed when admitted or refused; nil in synthetic time
	charged  float64
	uncached float64 // prompt tokens that the endpoint had to compute, as expected

	submitted time.Time
	started   time.Time
	flushed   time.Time // of the latest token that the shared tables know
	counted   int       // tokens that the shared tables know
	emitted   atomic.Int32
}

// Spec returns the request.
func (f *Request) Spec() *RequestSpec { return f.ask }

// Refusal tells why the request was refused; nil when it was not.
func (f *Request) Refusal() *RefusalError { return f.refusal }

// Running tells whether the request was admitted and has not ended.
func (f *Request) Running() bool { return f.phase == phaseRunning }

// newFlight returns a request that is neither queued nor running.
func (c *Core) newFlight(ask *RequestSpec, now time.Time) *Request {
	f := &Request{ask: ask, submitted: now, pool: c.pools[ask.Entry], counted: ask.GeneratedTokens}
	f.emitted.Store(int32(ask.GeneratedTokens))
	f.groups = c.lengths.Groups(f.lengthKey())
	f.lengths = f.groups.Best()
	f.decision = Decision{ID: ask.ID, Entry: ask.Entry, Workspace: ask.Workspace, Submitted: now, ExpectedTokens: f.remaining()}
	return f
}

func (f *Request) prompt() int {
	if f.ask.PromptTokens > 0 {
		return f.ask.PromptTokens
	}
	return defaultPrompt
}

// remaining gives the mean of the tokens that are still to come.
func (f *Request) remaining() float64 {
	emitted := int(f.emitted.Load())
	mean, _ := f.lengths.Remaining(emitted)
	if f.ask.MaximumTokens > 0 {
		mean = min(mean, float64(max(f.ask.MaximumTokens-emitted, 0)))
	}
	return mean
}

// charge gives the tokens that the workspace is charged with at the start, as expected.
func (f *Request) charge() float64 {
	return f.remaining() + promptCharge*float64(f.prompt())
}

// survival gives the probability that the generation goes on for more than the further tokens.
func (f *Request) survival(further int) float64 {
	emitted := int(f.emitted.Load())
	if f.ask.MaximumTokens > 0 && emitted+further >= f.ask.MaximumTokens {
		return 0
	}
	if further == 0 {
		return 1
	}
	return f.lengths.Survival(emitted, further)
}

// Endpoint gives the address that the request was admitted to.
func (f *Request) Endpoint() netip.AddrPort { return f.decision.Endpoint }

// Decision tells how the request was decided.
func (f *Request) Decision() Decision { return f.decision }
