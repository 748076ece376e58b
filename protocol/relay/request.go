package relay

import (
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"net/netip"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/process"
	"dogwooddyke/state/prompt"
	"dogwooddyke/state/route"
	"dogwooddyke/state/stream"
)

// Request is one request of a caller; its body is read completely before the first dispatch.
type Request struct {
	ID            string // unique among the requests of all instances
	Method        string
	Target        string // path and query, as the caller sent them
	Host          string
	Header        http.Header // headers to be forwarded
	Body          []byte
	Route         *route.Route
	Service       string
	AskPath       string        // where an endpoint of the service can be asked which process it is; empty: nowhere
	Engine        *route.Engine // properties of the service's model engines; nil for a plain service
	Workspace     string
	Priority      int           // requests of priority 0 are served first
	PromptTokens  int           // zero if unknown
	MaximumTokens int           // limit of the output in tokens; zero if unknown
	Parts         []prompt.Part // parts of the prompt that other requests may share, in order
	Whole         prompt.Part   // the request as a whole; set by Runner.Run
	Arrived       time.Time     // when the instance received the request
	Deadline      time.Time     // deadline of the whole answer: the earlier of the caller's and the route's
	After         int64         // id of the last event that the caller has received; zero if it has none
	Resumes       string        // id of the request that brought the caller the first event of the stream; empty: unknown
}

// Stream returns the identity of the request's stream, which the request that brought its first event began.
func (r *Request) Stream() stream.ID {
	if r.After > 0 && r.Resumes != "" {
		return stream.Of(r.Workspace, r.Resumes)
	}
	return stream.Of(r.Workspace, r.ID)
}

// SplitFraction returns the number from 0 to 1 by which the request gets one of its route's services: the given random one, but of a stream that its caller
// may take up again one that follows from the stream, so that each instance sends it to the same service.
func (r *Request) SplitFraction(random float64) float64 {
	if r.Route.Kind != route.KindStream || !r.Route.Resumable {
		return random
	}
	id := r.Stream()
	return float64(binary.BigEndian.Uint32(id[:])) / (1 << 32)
}

// Endpoint is an endpoint to which a request can be sent.
type Endpoint struct {
	ID         string // identifies one start of the endpoint's process
	Address    netip.AddrPort
	Born       int64 // start of the process by the endpoint's clock, in Unix milliseconds; zero if unknown
	DataCentre string
	Version    string // of its software; empty: unknown
	Evacuated  bool   // no request may be sent to its data centre
	Notice     Notice // that the endpoint is leaving; nil if unknown
}

// Process returns the identity of the endpoint's process.
func (e Endpoint) Process() process.ID {
	return process.Of(e.Address, e.ID, e.Born)
}

// Notice says whether and when an endpoint has begun to leave.
type Notice interface {
	// Done returns a channel that is closed once the endpoint is leaving.
	Done() <-chan struct{}
	// At returns the time since which the endpoint is leaving; zero if it is not.
	At() time.Time
}

// Leaving reports whether the endpoint has announced that it is leaving.
func (e Endpoint) Leaving() bool { return e.Notice != nil && !e.Notice.At().IsZero() }

// hadTimeToLeave reports whether the endpoint announced that it is leaving so long ago that it may have ended as announced.
func (e Endpoint) hadTimeToLeave(now time.Time) bool {
	return e.Leaving() && now.Sub(e.Notice.At()) >= shortestNotice
}

// Copy identifies a copy of a run's memory from which an endpoint can continue the run.
type Copy struct {
	Source  netip.AddrPort // endpoint at which the handle is valid
	Handle  string         // identifier of the copy at its source
	Created int            // number of events that the run had produced
	Target  netip.AddrPort // endpoint to which the memory was copied completely; invalid if unknown
}

// Dispatch is one attempt to run a request at one endpoint.
type Dispatch struct {
	Request        *Request
	Endpoint       Endpoint
	Deadline       time.Time
	After          int64             // id of the event after which the answer starts; zero to start with the first event
	Origin         Origin            // from which memory it continues the run
	Copy           *Copy             // copy from which the run continues; nil for a new run
	Choice         routing.Candidate // the router's assessment of the endpoint
	ExpectedTokens float64           // predicted length of the output in tokens
	Backup         netip.AddrPort    // endpoint to which the run's memory is copied while the run continues; invalid if there is none
}

// Reply is the answer of an endpoint; the receiver must close Body.
type Reply struct {
	Status   int
	Header   http.Header // headers to be forwarded
	Signed   bool        // the answer carries the endpoint's signature
	Encoded  bool        // the body has a content encoding, so its bytes are not those that the endpoint produced
	Unframed bool        // the end of the body is marked only by the end of the connection
	Body     io.ReadCloser
}

// NotRunError reports that an endpoint certainly did not run a dispatch.
type NotRunError struct {
	Status        int   // HTTP status of the endpoint's refusal; zero if the dispatch did not reach it
	AddressReused bool  // the address belongs to another endpoint than the expected one
	Cause         error // why the dispatch did not reach the endpoint; nil if it did
}

// Error returns the cause on one line.
func (n *NotRunError) Error() string {
	switch {
	case n.Cause != nil:
		return "not run: " + n.Cause.Error()
	case n.AddressReused:
		return "not run: the address belongs to another endpoint"
	default:
		return "not run: endpoint refused with " + http.StatusText(n.Status)
	}
}

// Unwrap returns Cause.
func (n *NotRunError) Unwrap() error { return n.Cause }

// Endpoints sends requests to endpoints and moves runs between them.
type Endpoints interface {
	// Send returns the answer, a *NotRunError, or another error if the request may have run. Cancelling the context ends the run
	// even after Send has returned.
	Send(ctx context.Context, d *Dispatch) (*Reply, error)
	// Move copies a run's memory from one endpoint to another. If last is set, it stops the run first; the returned copy is then
	// valid even with an error, provided that its handle is set.
	Move(ctx context.Context, id string, from Endpoint, to netip.AddrPort, last bool) (Copy, error)
	// Drop frees a copy that is no longer needed.
	Drop(ctx context.Context, c Copy)
	// Survives reports whether the process of an endpoint still runs after it has ended a connection; it is asked at the path, if there is one. False
	// if another process answers, or none can be reached; true if one listens that does not say which it is.
	Survives(ctx context.Context, endpoint Endpoint, path string) bool
	// Crashed reports whether no process listens at an endpoint's address any more; false if that can't be found out soon.
	Crashed(ctx context.Context, address netip.AddrPort) bool
}

// Sink sends the answer of a request to its caller; an error means that the caller has disconnected.
type Sink interface {
	// Begin sends the status and headers.
	Begin(status int, header http.Header) error
	// Write sends a part of the body without buffering it.
	Write(data []byte) error
	// Cancel has calls of Begin and Write that wait for the caller return an error. It may be called at the same time as they are.
	Cancel()
}
