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

// Request is one call of a plain service, as its caller sent it.
type Request struct {
	ID        string // unique among the requests of all instances
	Entry     string
	Workspace string
	Class     string
	Method    string
	Path      string      // with the leading slash and the query
	Header    http.Header // as the caller sent it
	Body      []byte
	Key       string // value of the Idempotency-Key header; empty if there is none
	KeyRule   catalogue.KeyRule
	Spec      routing.RequestSpec // what the router is asked for; its deadline is the latest time of a dispatch
	Deadline  time.Time           // deadline of the whole call, with its response
}

// repeatable reports whether the call may be dispatched more than once, because the entry's key rule says that its calls are
// idempotent or because HTTP defines the method as safe.
func (r *Request) repeatable() bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return r.KeyRule == catalogue.KeyRuleIdempotent
}

// Response is the response of a service; the receiver must close Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Services dispatches calls to plain services.
type Services interface {
	// Do dispatches the call once, on a new connection unless the call is repeatable. An error that wraps answer.ErrNotStarted
	// means that the call did not run. When the context is done, reading the response's body fails too.
	Do(ctx context.Context, endpoint netip.AddrPort, request *Request, repeatable bool) (*Response, error)
	// Crashed reports whether no process listens at an endpoint's address any more; false if that can't be found out soon.
	Crashed(ctx context.Context, endpoint netip.AddrPort) bool
}

// Claims grants idempotency keys to calls.
type Claims interface {
	// Claim claims the key for a call and returns the claim's state and the call's id. Body is the digest of the call's method,
	// path and body; born is when the key was created, zero if unknown.
	Claim(ctx context.Context, key, body claim.Digest, born time.Time) (claim.Grant, uuid.UUID, error)
	// Settle records the result of a call that was granted its key, or that the call did not run.
	Settle(settlement claim.Settlement)
}

// Sink sends the response to the caller; an error means that the caller has disconnected.
type Sink interface {
	// Begin sends the status and headers.
	Begin(status int, header http.Header) error
	// Write sends a part of the body.
	Write(data []byte) error
}

// Result describes how a call ended.
type Result struct {
	ID       string
	Outcome  answer.Outcome
	Reason   Reason    // cause of an outcome other than finished
	Status   int       // HTTP status of the service's response; zero if there was none
	Repeated bool      // the outcome is that of an earlier call with the same key
	Begun    bool      // the head of a response was sent to the caller
	RetryAt  time.Time // when the caller should retry; zero if unknown
	Err      error     // error that ended the call; nil if there was none
}

// Observer is notified of the ends and retries of calls; its methods must be fast and safe for concurrent use.
type Observer interface {
	// Ended is called when a call has ended.
	Ended(request *Request, result Result)
	// Redispatched is called when a call is about to be dispatched again, with whether its previous dispatch may have run.
	Redispatched(request *Request, mayHaveRun bool)
}

// noObserver is the Observer of a Runner that has none.
type noObserver struct{}

func (noObserver) Ended(*Request, Result)      {}
func (noObserver) Redispatched(*Request, bool) {}
