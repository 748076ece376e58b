package control

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"dogwooddyke/transport/platform"
)

// counter counts the bytes of connections, both ways.
type counter struct {
	bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	counter *counter
}

func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// client returns an HTTP client for the platform whose connections are counted.
func (c *counter) client() (*http.Client, *http.Transport) {
	client := platform.NewClient()
	transport := client.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, counter: c}, nil
	}
	return client, transport
}
