package response

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
)

// defaultHeadBytes limits the heads of a response if the transport sets no limit.
const defaultHeadBytes = 64 << 10

var errScheme = errors.New("scheme of the request is not http")

// Transport returns only responses that HTTP allows; for anything else it returns an error, which is a *MalformedError if bytes have come. Requests go to
// http URLs.
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
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*conn).begin() }}
	return t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}
