package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client sends requests to instances.
type client struct {
	http       *http.Client
	targets    []string
	profile    *Profile
	candidates Candidates
	recorder   *recorder
	resumeWait time.Duration
	balancer   *balancer
}

func newClient(o *Options, r *recorder) *client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: maximumOpen,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		ReadBufferSize:      2 << 10,
		WriteBufferSize:     2 << 10,
	}
	h := &http.Client{Transport: transport}
	return &client{
		http:       h,
		balancer:   newBalancer(h, o.Targets),
		targets:    o.Targets,
		profile:    o.Profile,
		candidates: o.Candidates,
		recorder:   r,
		resumeWait: resumeDelay,
	}
}

func (c *client) close() {
	c.http.CloseIdleConnections()
}

// send posts the request's body to a path of a target.
func (c *client) send(ctx context.Context, r *Request, target int, path string) (*http.Response, error) {
	method, body := http.MethodPost, r.Body()
	if r.Mix.Kind == KindLookup {
		method, body = http.MethodGet, nil
	}
	request, err := http.NewRequestWithContext(ctx, method, c.targets[target]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+r.Workspace.Key)
	if r.Key != "" {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	if r.Mix.Kind == KindCall {
		request.GetBody = nil // keeps the transport from sending it again on its own
	}
	return c.http.Do(request)
}

// do carries one request to its end.
func (c *client) do(ctx context.Context, r *Request, due time.Time) *Result {
	switch r.Mix.Kind {
	case KindStream:
		return c.stream(ctx, r, due)
	case KindWhole:
		return c.whole(ctx, r, due)
	default:
		return c.call(ctx, r, r.Target, due)
	}
}

// unanswered sets the outcome of a request whose reply did not come.
func (r *Result) unanswered(err error) {
	r.Outcome = OutcomeCut
	r.Reason = "connection lost"
	if errors.Is(err, context.DeadlineExceeded) {
		r.Reason = "timeout"
	}
	if operation, ok := errors.AsType[*net.OpError](err); ok && operation.Op == "dial" {
		r.Outcome = OutcomeUnreached
		r.Reason = "not connected"
	}
}

func readBody(response *http.Response) ([]byte, error) {
	return io.ReadAll(io.LimitReader(response.Body, maximumBodyBytes))
}

func statusReason(status int) string {
	return fmt.Sprintf("status %d without outcome", status)
}
