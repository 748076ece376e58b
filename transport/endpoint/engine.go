package endpoint

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/samber/oops"

	"dogwooddyke/protocol/answer"
)

// Engines starts, resumes and cancels generations over HTTP; it implements answer.Engines.
type Engines struct {
	clients *Clients
}

// NewEngines returns engines that are reached through the clients.
func NewEngines(clients *Clients) *Engines { return &Engines{clients: clients} }

// Start dispatches a new generation on a fresh connection; the context bounds the wait for the engine's first byte.
func (e *Engines) Start(ctx context.Context, endpoint netip.AddrPort, generation string, request *answer.Request) (answer.Stream, error) {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set(headerGeneration, generation)
	header.Set(headerPriority, strconv.Itoa(request.Spec.Priority))
	return e.open(ctx, endpoint, http.MethodPost, request.Path, header, request.Body)
}

// Resume opens a new connection to a generation, from the index on; the context bounds the wait for the engine's first byte.
func (e *Engines) Resume(ctx context.Context, endpoint netip.AddrPort, generation string, from int) (answer.Stream, error) {
	target := generationsPath + url.PathEscape(generation) + "?from=" + strconv.Itoa(from)
	header := http.Header{}
	header.Set("Accept", "text/event-stream")
	return e.open(ctx, endpoint, http.MethodGet, target, header, nil)
}

// Cancel ends a generation; it succeeds when the engine does not have it.
func (e *Engines) Cancel(ctx context.Context, endpoint netip.AddrPort, generation string) error {
	target := address(endpoint, generationsPath+url.PathEscape(generation))
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return oops.Wrapf(err, "cancel %s", generation)
	}
	response, err := e.clients.pooled.Do(request)
	if err != nil {
		return oops.Wrapf(err, "cancel %s", generation)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound || response.StatusCode/100 == 2 {
		return nil
	}
	return oops.Errorf("cancel %s: endpoint answered %d", generation, response.StatusCode)
}

// open sends a request on a fresh connection and returns its events; the stream outlives the context.
func (e *Engines) open(ctx context.Context, endpoint netip.AddrPort, method, path string, header http.Header, body []byte) (answer.Stream, error) {
	alive, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	left := &departure{}
	request, err := http.NewRequestWithContext(left.trace(alive), method, address(endpoint, path), bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("%w: %w", answer.ErrNotStarted, err)
	}
	request.Header = header
	response, err := e.clients.do(e.clients.fresh, request, endpoint)
	if err != nil {
		cancel()
		return nil, dispatchError(left, err)
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, statusError(method, response)
	}
	if !stop() {
		_ = response.Body.Close()
		return nil, oops.Wrapf(ctx.Err(), "open stream")
	}
	return newStream(response.Body, cancel), nil
}

// dispatchError tells a request of which no byte can have left from one that may have arrived.
func dispatchError(left *departure, err error) error {
	if left.possible() {
		return oops.Wrapf(err, "dispatch")
	}
	return fmt.Errorf("%w: %w", answer.ErrNotStarted, err)
}

// statusError reads the engine's refusal and closes the body.
func statusError(method string, response *http.Response) error {
	defer response.Body.Close()
	if method == http.MethodGet && response.StatusCode == http.StatusNotFound {
		return answer.ErrUnknownGeneration
	}
	refused := refusal(response)
	refused.NotStarted = response.Header.Get(headerOutcome) == outcomeNotRun
	return refused
}

func address(endpoint netip.AddrPort, path string) string {
	return "http://" + endpoint.String() + path
}
