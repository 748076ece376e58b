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
	spec             *RequestSpec
	pool             *pool
	flow             *flow
	endpoint         *endpointState
	backup           *endpointState // holds a copy of the run's memory; nil: none does
	lengthGroups     length.Groups
	lengthHistogram  *length.Histogram // of the groups, the one to rely on
	workspaceAccount *workspace.Account
	limiters         [2]*workspace.Limiter // of the workspace, and of the workspace on the entry
	phase            phase
	refusal          *RefusalError
	decision         Decision
	decided          chan struct{} // closed when admitted or refused; nil in synthetic time
	chargedTokens    float64
	uncachedTokens   float64 // prompt tokens that the endpoint had to compute, as expected

	submitted      time.Time
	started        time.Time
	recordedAt     time.Time // of the latest token that the shared tables know
	recordedTokens int       // tokens that the shared tables know
	emittedTokens  atomic.Int32
}

// Spec returns the request.
func (r *Request) Spec() *RequestSpec { return r.spec }

// Refusal tells why the request was refused; nil when it was not.
func (r *Request) Refusal() *RefusalError { return r.refusal }

// Running tells whether the request was admitted and has not ended.
func (r *Request) Running() bool { return r.phase == phaseRunning }

// newFlight returns a request that is neither queued nor running.
func (c *Core) newRequest(spec *RequestSpec, now time.Time) *Request {
	r := &Request{spec: spec, submitted: now, pool: c.pools[spec.Entry], recordedTokens: spec.GeneratedTokens}
	r.emittedTokens.Store(int32(spec.GeneratedTokens))
	r.lengthGroups = c.lengthTable.Groups(r.lengthKey())
	r.lengthHistogram = r.lengthGroups.Best()
	r.decision = Decision{ID: spec.ID, Entry: spec.Entry, Workspace: spec.Workspace, Submitted: now, ExpectedTokens: r.remainingTokens()}
	return r
}

func (r *Request) promptTokens() int {
	if r.spec.PromptTokens > 0 {
		return r.spec.PromptTokens
	}
	return defaultPromptTokens
}

// remaining gives the mean of the tokens that are still to come.
func (r *Request) remainingTokens() float64 {
	emitted := int(r.emittedTokens.Load())
	mean, _ := r.lengthHistogram.Remaining(emitted)
	if r.spec.MaximumTokens > 0 {
		mean = min(mean, float64(max(r.spec.MaximumTokens-emitted, 0)))
	}
	return mean
}

// charge gives the tokens that the workspace is charged with at the start, as expected.
func (r *Request) expectedCharge() float64 {
	return r.remainingTokens() + promptTokenCharge*float64(r.promptTokens())
}

// survival gives the probability that the generation goes on for more than the further tokens.
func (r *Request) survival(further int) float64 {
	emitted := int(r.emittedTokens.Load())
	if r.spec.MaximumTokens > 0 && emitted+further >= r.spec.MaximumTokens {
		return 0
	}
	if further == 0 {
		return 1
	}
	return r.lengthHistogram.Survival(emitted, further)
}

// Endpoint gives the address that the request was admitted to.
func (r *Request) Endpoint() netip.AddrPort { return r.decision.Endpoint }

// Decision tells how the request was decided.
func (r *Request) Decision() Decision { return r.decision }
