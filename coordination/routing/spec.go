package routing

import (
	"net/netip"
	"time"
)

// RequestSpec describes a request that wants an endpoint.
type RequestSpec struct {
	ID                  string // answer id, for explanations
	Entry               string
	Workspace           string
	Class               string
	Priority            int // 0 is served first
	PromptTokens        int
	MaximumTokens       int              // limit on output that the caller set; zero: none
	GeneratedTokens     int              // tokens of output that the generation has made elsewhere
	Prefix              []uint64         // chained hashes of the prompt's blocks, see endpoint.Blocks
	MovableRuns         int              // generations that can leave an endpoint at short notice; zero: any number
	PreferredEndpoint   netip.AddrPort   // endpoint that Place takes if it may
	PreferredDataCentre string           // data centre that is preferred; empty: the instance's own
	RemoteCost          float64          // seconds that an endpoint elsewhere costs; zero: what it costs an instance
	Deadline            time.Time        // latest start of the generation
	Exclude             []netip.AddrPort // endpoints that already failed this request
}

// Outcome says how a generation on an endpoint ended.
type Outcome int

// The outcomes of a generation as the endpoint's account sees them.
const (
	OutcomeFinished    Outcome = iota
	OutcomeCancelled           // the caller left
	OutcomeFailed              // the endpoint failed or went silent
	OutcomeRefused             // the endpoint said that it did not start
	OutcomeUnreachable         // nothing listens at the endpoint's address
)

// RefusalError tells why a request was not admitted and when asking again makes sense.
type RefusalError struct {
	Reason  Reason
	RetryAt time.Time // zero: asking again does not help
}

// Reason names a cause of refusal; it is a metrics label.
type Reason string

// The reasons for a refusal.
const (
	ReasonNoEndpoint     Reason = "noEndpoint"     // the entry has no endpoint that takes work
	ReasonQueueFull      Reason = "queueFull"      // the queue is at its bound
	ReasonDeadline       Reason = "deadline"       // the expected start lies past the deadline
	ReasonWorkspaceLimit Reason = "workspaceLimit" // the workspace is over one of its limits
	ReasonDraining       Reason = "draining"       // the instance takes no new work
	ReasonCancelled      Reason = "cancelled"      // the caller left the queue
)

// Error gives the reason in one line.
func (r *RefusalError) Error() string {
	return "not admitted: " + string(r.Reason)
}
