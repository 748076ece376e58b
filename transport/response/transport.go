package response

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"golang.org/x/net/http/httpguts"
)

// defaultHeadBytes limits the heads of a response if the transport sets no limit.
const defaultHeadBytes = 64 << 10

var errUnknownLength = errors.New("length of the request's body is unknown")

// Transport returns only responses that HTTP/1.1 allows; for anything else it returns an error, which is a *MalformedError if bytes have come that are
// none. The bodies of requests have a known length.
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
	base.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured, err := secure(ctx, c, base.TLSClientConfig, address)
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		return newConn(secured, limit), nil
	}
	return &Transport{base: base}
}

// secure makes the TLS handshake with the server at an address.
func secure(ctx context.Context, c net.Conn, config *tls.Config, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	config = config.Clone()
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	secured := tls.Client(c, config)
	return secured, secured.HandshakeContext(ctx)
}

// CloseIdleConnections closes the connections without a request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip sends one request.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
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
