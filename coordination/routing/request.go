package routing

import (
	"net/netip"
	"sync/atomic"
	"time"

	"dogwooddyke/state/length"
	"dogwooddyke/state/workspace"
)

// phase is the state of a request.
type phase int

const (
	phaseQueued phase = iota
	phaseRunning
	phaseOver
)

// Request is one submission of a request, from Submit or Place to its refusal or Release.
type Request struct {
	spec             *RequestSpec
	pool             *pool // nil: the entry is unknown
	flow             *flow // nil: not queued
	endpoint         *endpointState
	backup           *endpointState // endpoint that holds the run's backup; nil: none
	lengthGroups     length.Groups
	lengthHistogram  *length.Histogram     // of the narrowest group with enough observations
	workspaceAccount *workspace.Account    // tokens served to the workspace
	limiters         [2]*workspace.Limiter // the workspace's, and the workspace's on the entry
	phase            phase
	inProgress       bool // a run that continues at another endpoint
	refusal          *RefusalError
	decision         Decision
	decided          chan struct{} // closed when the request is admitted or refused; nil unless a Router has queued it
	chargedTokens    float64       // served tokens charged to the workspace at the start
	uncachedTokens   float64       // prompt tokens that were expected to be missing in the endpoint's cache at the start
	promptWork       float64       // prompt tokens, others' included, that the endpoint was expected to process until the first token
	expectedFirst    time.Time     // when the first token was expected at the start

	submitted      time.Time
	started        time.Time
	recordedAt     time.Time    // when recordedTokens was last updated, or the start
	recordedTokens int          // output tokens that the shared statistics include
	emittedTokens  atomic.Int32 // output tokens so far, including those produced at a previous endpoint
}

// Spec returns the description that the request was submitted with.
func (r *Request) Spec() *RequestSpec { return r.spec }

// Refusal returns why the request was refused, or nil if it was not.
func (r *Request) Refusal() *RefusalError { return r.refusal }

// Running reports whether the request was admitted and has not ended.
func (r *Request) Running() bool { return r.phase == phaseRunning }

// newRequest returns a request that has not been added to the queue.
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

// remainingTokens returns the mean number of output tokens that are expected from now on.
func (r *Request) remainingTokens() float64 {
	emitted := int(r.emittedTokens.Load())
	mean, _ := r.lengthHistogram.Remaining(emitted)
	if r.spec.MaximumTokens > 0 {
		mean = min(mean, float64(max(r.spec.MaximumTokens-emitted, 0)))
	}
	return mean
}

// expectedCharge returns the served tokens that the workspace is charged at the start, computed from the expected length.
func (r *Request) expectedCharge() float64 {
	return r.remainingTokens() + promptTokenCharge*float64(r.promptTokens())
}

// survival returns the probability that the run produces more than the given number of further tokens.
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

// Endpoint returns the address of the endpoint that the request was admitted to.
func (r *Request) Endpoint() netip.AddrPort { return r.decision.Endpoint }

// Decision returns how the request was decided.
func (r *Request) Decision() Decision { return r.decision }
