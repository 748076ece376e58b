package routing

import (
	"net/netip"
	"time"
)

// RequestSpec describes a request to the router.
type RequestSpec struct {
	ID                  string // ID of the answer or call, under which the decision is explained
	Entry               string
	Workspace           string
	Class               string
	Priority            int              // 0 is the most urgent
	PromptTokens        int              // zero: unknown
	MaximumTokens       int              // limit on output tokens set by the caller; zero: none
	GeneratedTokens     int              // output tokens that the run has already produced at another endpoint
	Prefix              []uint64         // chained hashes of the prompt's blocks; see endpoint.Blocks
	Version             string           // the only version of endpoints that may take it; empty: any
	Begun               bool             // an endpoint may have run it, or its answer has begun: it is not refused because the instance closes
	MovableRuns         int              // runs that can be moved off an endpoint at short notice; zero: any number
	PreferredEndpoint   netip.AddrPort   // endpoint that Place chooses if it is eligible
	PreferredOnly       bool             // Place refuses rather than choose another endpoint than the preferred one, which may be leaving
	PreferredDataCentre string           // empty: the instance's own
	RemoteCost          float64          // seconds added to the score of an endpoint outside the preferred data centre; zero: the default
	Deadline            time.Time        // latest start of the run; zero: none
	FirstTokenDeadline  time.Time        // time until which the first token is on time; zero: none
	Target              time.Duration    // of the answer of a plain service; zero: until FirstTokenDeadline
	Exclude             []netip.AddrPort // endpoints that have already failed this request
}

// Outcome is how a run at an endpoint ended.
type Outcome int

// The outcomes of a run, as they count for the endpoint's health.
const (
	OutcomeFinished    Outcome = iota
	OutcomeCancelled           // the caller disconnected
	OutcomeFailed              // the endpoint failed or stopped responding
	OutcomeRefused             // the endpoint answered that it did not start the run
	OutcomeUnreachable         // nothing listens at the endpoint's address
)

// RefusalError says why a request was not admitted and when to retry.
type RefusalError struct {
	Reason  Reason
	RetryAt time.Time // zero: a retry does not help
}

// Reason is the cause of a refusal; it is also a metrics label.
type Reason string

// The reasons for a refusal.
const (
	ReasonNoEndpoint     Reason = "noEndpoint"     // the entry is unknown or none of its endpoints takes the request
	ReasonVersion        Reason = "version"        // no endpoint of the version that the request needs takes work
	ReasonQueueFull      Reason = "queueFull"      // the queue of the instance or of the workspace is full
	ReasonDeadline       Reason = "deadline"       // the request can't start before its deadline
	ReasonWorkspaceLimit Reason = "workspaceLimit" // the workspace's limits delay the start past the deadline
	ReasonRateLimit      Reason = "rateLimit"      // the endpoints limit the rate of requests, and none permits the request in time
	ReasonResting        Reason = "resting"        // the endpoints have asked for rest, and none of the rests ends in time
	ReasonQuarantined    Reason = "quarantined"    // a part of the prompt crashes engines
	ReasonDraining       Reason = "draining"       // the instance takes no new work
	ReasonCancelled      Reason = "cancelled"      // the caller disconnected while the request was queued
)

// MayPassWithoutExclusions reports whether the request might have been admitted if it excluded no endpoint.
func (r *RefusalError) MayPassWithoutExclusions() bool {
	return r.Reason == ReasonNoEndpoint || r.MayPassSoon()
}

// MayPassSoon reports whether an endpoint may take the request without a change of the endpoints.
func (r *RefusalError) MayPassSoon() bool {
	return r.Reason == ReasonRateLimit || r.Reason == ReasonResting
}

// Error returns the reason in one line.
func (r *RefusalError) Error() string {
	return "not admitted: " + string(r.Reason)
}
