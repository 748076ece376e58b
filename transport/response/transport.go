package response

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"
)

// defaultHeadBytes limits the heads of a response if the transport sets no limit.
const defaultHeadBytes = 64 << 10

var (
	errScheme        = errors.New("scheme of the request is not http")
	errUnknownLength = errors.New("length of the request's body is unknown")
)

// Transport returns only responses that HTTP allows; for anything else it returns an error, which is a *MalformedError if bytes have come. Requests go to
// http URLs, and have bodies of a known length.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport with the options of another one, which it takes over.
func NewTransport(base *http.Transport) *Transport {
	limit := int(base.MaxResponseHeaderBytes)
	if limit <= 0 {
		limit = defaultHeadBytes
	}
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c, limit), nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections without a request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip sends one request.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Scheme != "http" {
		return nil, errScheme
	}
	length := request.ContentLength
	if request.Body == nil || request.Body == http.NoBody {
		length = 0
	}
	if length < 0 || length == 0 && request.Body != nil && request.Body != http.NoBody {
		return nil, errUnknownLength
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		info.Conn.(*conn).begin(length) // as dialled
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, response: response}
	return response, nil
}

// body is the body of a response, with the trailer that follows it.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read reads the body; it returns a *MalformedError instead of io.EOF if the trailer has a line that is no field.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		for name := range b.response.Trailer {
			if !httpguts.ValidHeaderFieldName(name) {
				return n, &MalformedError{Reason: "line of a trailer names no field", Text: name}
			}
		}
	}
	return n, err
}
