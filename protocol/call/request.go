package call

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"dogwooddyke/coordination/claim"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/state/catalogue"
)

// Request is one call that a caller asked for.
type Request struct {
	ID        string // unique over the fleet
	Entry     string
	Workspace string
	Class     string
	Method    string
	Path      string      // from the slash on, with the query
	Header    http.Header // as the caller sent it
	Body      []byte
	Key       string // the Idempotency-Key header; empty: none
	Rule      catalogue.KeyRule
	Ask       routing.RequestSpec // its deadline is the latest dispatch
	Deadline  time.Time           // of the whole call
}

// repeatable reports whether the call may be dispatched twice: by the entry's rule, or since HTTP calls the method safe.
func (r *Request) repeatable() bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return r.Rule == catalogue.KeyRuleIdempotent
}

// Response is a service's answer; Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Services dispatches calls to plain services.
type Services interface {
	// Do dispatches once, on a new connection unless the call may be repeated. An error that wraps answer.ErrNotStarted means
	// that the call did not run. The context ends the response too.
	Do(ctx context.Context, endpoint netip.AddrPort, request *Request, repeatable bool) (*Response, error)
}

// Claims gives idempotency keys to calls.
type Claims interface {
	Claim(ctx context.Context, key, body claim.Digest, born time.Time) (claim.Grant, uuid.UUID, error)
	Settle(settlement claim.Settlement)
}

// Sink takes the response for the caller; an error means that the caller has left.
type Sink interface {
	Begin(status int, header http.Header) error
	Write(data []byte) error
}

// Result says how a call ended.
type Result struct {
	ID       string
	Outcome  answer.Outcome
	Reason   Reason // of an outcome other than finished
	Status   int    // of the service's response; zero: there was none
	Repeated bool   // the outcome is that of an earlier call with the key
	Begun    bool   // the caller has the beginning of a response
	RetryAt  time.Time
	Err      error
}

// Observer is told of how calls end; it must be fast and safe for concurrent use.
type Observer interface {
	Called(request *Request, result Result)
	// Redispatched reports a second dispatch and whether the former one may have run.
	Redispatched(request *Request, mayHaveRun bool)
}

// noObserver ignores everything.
type noObserver struct{}

func (noObserver) Called(*Request, Result)     {}
func (noObserver) Redispatched(*Request, bool) {}
