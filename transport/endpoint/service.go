package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"syscall"

	"dogwooddyke/protocol/answer"
	"dogwooddyke/protocol/call"
)

// Services dispatches calls to plain services over HTTP; it implements call.Services.
type Services struct {
	clients *Clients
}

// NewServices returns services that are reached through the clients.
func NewServices(clients *Clients) *Services { return &Services{clients: clients} }

// Crashed reports whether nothing listens at a service's address any more.
func (s *Services) Crashed(ctx context.Context, endpoint netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, crashDialTimeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", endpoint.String())
	if err == nil {
		_ = connection.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Do dispatches once; a call that may not be repeated gets a fresh connection, on which net/http sends it once.
func (s *Services) Do(ctx context.Context, endpoint netip.AddrPort, asked *call.Request, repeatable bool) (*call.Response, error) {
	left := &departure{}
	request, err := http.NewRequestWithContext(left.trace(ctx), asked.Method, address(endpoint, asked.Path), bytes.NewReader(asked.Body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", answer.ErrNotStarted, err)
	}
	request.Header = call.RequestHeader(asked.Header)
	request.Header.Set(headerRequest, asked.ID)
	client := s.clients.fresh
	if repeatable {
		client = s.clients.pooled
	}
	response, err := s.clients.do(client, request, endpoint)
	if err != nil {
		return nil, dispatchError(left, err)
	}
	if response.Header.Get(headerOutcome) == outcomeNotRun {
		refused := refusal(response)
		refused.NotStarted = true
		return nil, refused
	}
	body := response.Body
	if response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		body = &unframedBody{ReadCloser: body, crashed: func() bool { return s.Crashed(ctx, endpoint) }}
	}
	return &call.Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// unframedBody is a body whose end is marked by nothing but the end of its connection, which a service that crashes ends in the same way.
type unframedBody struct {
	io.ReadCloser
	crashed func() bool
}

// Read reads the body; it returns io.ErrUnexpectedEOF at its end if the service has crashed.
func (u *unframedBody) Read(p []byte) (int, error) {
	n, err := u.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && u.crashed() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
