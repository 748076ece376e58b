package endpoint

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"dogwooddyke/state/statement"
	"dogwooddyke/transport/response"
	"dogwooddyke/transport/traffic"
)

// Clients holds the connections to endpoints: pooled ones for requests that may be repeated, and a fresh one for each that may not.
type Clients struct {
	pooled  *http.Client
	fresh   *http.Client
	reports *http.Client // for what endpoints say of themselves

	// OnRest is called when an answer of an endpoint asks for rest, with the time until which the endpoint is to be sent nothing; nil: not called.
	OnRest func(endpoint netip.AddrPort, until time.Time)
}

// NewClients returns clients without any open connection.
func NewClients() *Clients { return NewMeteredClients(nil) }

// NewMeteredClients returns such clients; the meter counts the connections that carry endpoints' reports on themselves.
func NewMeteredClients(meter *traffic.Meter) *Clients {
	return &Clients{pooled: newClient(false), fresh: newClient(true), reports: newReportClient(meter)}
}

// Close closes the idle connections.
func (c *Clients) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	c.reports.CloseIdleConnections()
}

func newReportClient(meter *traffic.Meter) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &http.Client{
		Transport: response.NewTransport(&http.Transport{
			DialContext:            meter.Wrap(dialer.DialContext),
			DisableCompression:     true,
			IdleConnTimeout:        reportIdleTimeout,
			MaxIdleConnsPerHost:    1,
			MaxResponseHeaderBytes: maximumHeaderBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func newClient(fresh bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	return &http.Client{
		Transport: response.NewTransport(&http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			DisableKeepAlives:      fresh, // net/http repeats requests only on reused connections
			IdleConnTimeout:        idleTimeout,
			MaxIdleConnsPerHost:    idlePerEndpoint,
			MaxResponseHeaderBytes: maximumHeaderBytes,
			ReadBufferSize:         streamBufferBytes,
			WriteBufferSize:        streamBufferBytes,
			ExpectContinueTimeout:  expectContinueBound,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// do sends a request to an endpoint, and notes whether the answer asks for rest.
func (c *Clients) do(client *http.Client, request *http.Request, endpoint netip.AddrPort) (*http.Response, error) {
	answer, err := client.Do(request)
	if err != nil || c.OnRest == nil {
		return answer, err
	}
	// A value that can't be read asks for nothing.
	if lasts, err := statement.ParseRest(answer.Header.Get(headerRetry)); err == nil && lasts > 0 {
		c.OnRest(endpoint, time.Now().Add(lasts))
	}
	return answer, nil
}

// departure records whether a request got a connection, before which no byte of it can have left.
type departure struct {
	connected atomic.Bool
}

// trace returns a context that records into the departure.
func (d *departure) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { d.connected.Store(true) },
	})
}

// possible reports whether a byte of the request may have left.
func (d *departure) possible() bool { return d.connected.Load() }
