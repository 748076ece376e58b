package relay

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/route"
)

// Request is one request of a caller; its body is read whole before it is sent anywhere.
type Request struct {
	ID            string
	Method        string
	Target        string // path and query as the caller sent them
	Host          string
	Header        http.Header // to pass on
	Body          []byte
	Route         *route.Route
	Service       string
	Engine        *route.Engine // of the service; nil for a plain service
	Workspace     string
	Priority      int // 0 is served first
	PromptTokens  int // tokens of the prompt; zero: not told
	MaximumTokens int // tokens of output at most; zero: not told
	Arrived       time.Time
	Deadline      time.Time // of the whole answer: the caller's, or its route's where that is earlier
	After         int64     // id of the last event that the caller has; zero: none
}

// Endpoint is where a request is sent.
type Endpoint struct {
	ID         string // of the endpoint's start
	Address    netip.AddrPort
	DataCentre string
	Notice     <-chan struct{} // closed when the endpoint is leaving
}

// Leaving tells whether the endpoint is known to be leaving.
func (p Endpoint) Leaving() bool {
	select {
	case <-p.Notice:
		return true
	default:
		return false
	}
}

// Copy names the memory of a run that another endpoint can go on from.
type Copy struct {
	Source  netip.AddrPort
	Handle  string
	Created int // events that the run had made
}

// Dispatch is one sending of a request to one place.
type Dispatch struct {
	Request        *Request
	Endpoint       Endpoint
	Deadline       time.Time
	After          int64             // the answer begins after this event; zero: with the first one
	Copy           *Copy             // the run goes on from there; nil: it starts
	Choice         routing.Candidate // how the endpoint was judged
	ExpectedTokens float64           // tokens of output, as foreseen
	Backup         netip.AddrPort    // endpoint that the run's memory is copied to as it grows; invalid: none
}

// Reply is the head of an endpoint's answer, with its body to be read and closed.
type Reply struct {
	Status   int
	Header   http.Header // to pass on
	Signed   bool        // it bears the endpoint's signature
	Encoded  bool        // the body is not the endpoint's own bytes
	Unframed bool        // the body ends with its connection
	Body     io.ReadCloser
}

// NotRunError reports a dispatch that the endpoint certainly did not run.
type NotRunError struct {
	Status        int // of the endpoint's refusal; zero: the dispatch did not reach it
	AddressReused bool
	Cause         error
}

// Error gives the cause in one line.
func (n *NotRunError) Error() string {
	switch {
	case n.Cause != nil:
		return "not run: " + n.Cause.Error()
	case n.AddressReused:
		return "not run: another endpoint has the address"
	default:
		return "not run: endpoint refused with " + http.StatusText(n.Status)
	}
}

// Unwrap returns the cause.
func (n *NotRunError) Unwrap() error { return n.Cause }

// Endpoints sends requests to endpoints and moves runs between them.
type Endpoints interface {
	// Send returns the head of the answer, a *NotRunError, or another error where the request may have run; the context ends the
	// run also after Send has returned.
	Send(ctx context.Context, d *Dispatch) (*Reply, error)
	// Move copies a run's memory from one endpoint to another. With last the run stops; the copy is then valid also with an error,
	// where its handle is set.
	Move(ctx context.Context, id string, from, to netip.AddrPort, last bool) (Copy, error)
	// Drop frees a copy that is not used.
	Drop(ctx context.Context, c Copy)
}

// Sink takes a request's answer.
type Sink interface {
	// Begin sends the head of the answer.
	Begin(status int, header http.Header) error
	// Write sends a part of the body at once.
	Write(data []byte) error
}
