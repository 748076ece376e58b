package platform

import (
	"net"
	"net/http"
	"time"

	"dogwooddyke/transport/response"
	"dogwooddyke/transport/traffic"
)

// Timeouts of connections to the platform.
const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 20 * time.Second
	responseTimeout = 35 * time.Second // beyond the longest wait of a long poll
)

// NewClient returns an HTTP client for the platform's services with bounded pools and timeouts.
func NewClient() *http.Client { return NewMeteredClient(nil) }

// NewMeteredClient returns such a client whose connections the meter counts.
func NewMeteredClient(meter *traffic.Meter) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	return &http.Client{Transport: response.NewTransport(&http.Transport{
		DialContext:            meter.Wrap(dialer.DialContext),
		MaxIdleConnsPerHost:    16,
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  responseTimeout,
		MaxResponseHeaderBytes: maximumHeaderBytes,
	})}
}
