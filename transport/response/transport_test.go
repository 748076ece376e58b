package response

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// serve answers each request of each connection with the function, and closes the connection when that returns false. It returns a URL.
func serve(t *testing.T, answer func(c net.Conn, r *http.Request) bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil || !answer(c, r) {
						return
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String() + "/"
}

func newClient(t *testing.T) *http.Client {
	client := &http.Client{Transport: NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

func assertMalformed(t *testing.T, err error) {
	t.Helper()
	_, malformed := errors.AsType[*MalformedError](err)
	is.New(t).True(malformed)
}

func TestTransport(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	t.Run("sends several requests on one connection and checks each response", func(t *testing.T) {
		is := is.New(t)
		answers := []string{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", chunked + "\r\n", "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody"}
		served := make(map[string]int)
		n := 0
		url := serve(t, func(c net.Conn, _ *http.Request) bool {
			served[c.RemoteAddr().String()]++
			_, _ = io.WriteString(c, answers[n])
			n++
			return true
		})
		client := newClient(t)
		for range answers[:2] {
			response, err := client.Post(url, "", strings.NewReader("x"))
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), "body")
			is.NoErr(response.Body.Close())
		}
		_, err := client.Post(url, "", strings.NewReader("x"))
		assertMalformed(t, err)
		is.Equal(len(served), 1)
	})
	t.Run("reads a trailer", func(t *testing.T) {
		is := is.New(t)
		url := serve(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, chunked+"X-Sum: 1\r\n\r\n")
			return false
		})
		response, err := newClient(t).Get(url)
		is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(response.Trailer.Get("X-Sum"), "1")
	})
	t.Run("returns an error for a trailer with a line that is no field", func(t *testing.T) {
		url := serve(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, chunked+"X Sum: 1\r\n\r\n")
			return false
		})
		response, err := newClient(t).Get(url)
		is.New(t).NoErr(err)
		_, err = io.ReadAll(response.Body)
		assertMalformed(t, err)
	})
	t.Run("returns an error for a head that is too large", func(t *testing.T) {
		url := serve(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Part: "+strings.Repeat("x", 2*defaultHeadBytes))
			return false
		})
		_, err := newClient(t).Get(url)
		assertMalformed(t, err)
	})
	t.Run("returns an error for bytes that come before the request", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			if c, err := listener.Accept(); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 000 OK\r\n\r\n")
				_, _ = io.Copy(io.Discard, c)
			}
		}()
		_, err = newClient(t).Get("http://" + listener.Addr().String() + "/")
		is.New(t).True(err != nil)
	})
	t.Run("checks what comes over TLS", func(t *testing.T) {
		is := is.New(t)
		spoilt := false
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if spoilt {
				c, _, err := http.NewResponseController(w).Hijack()
				is.NoErr(err)
				_, _ = io.WriteString(c, "HTTP/1.1 000 OK\r\n\r\n")
				_ = c.Close()
			}
		}))
		t.Cleanup(server.Close)
		roots := x509.NewCertPool()
		roots.AddCert(server.Certificate())
		client := &http.Client{Transport: NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext, TLSClientConfig: &tls.Config{RootCAs: roots}})}
		t.Cleanup(client.CloseIdleConnections)
		response, err := client.Get(server.URL)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.NoErr(response.Body.Close())
		spoilt = true
		_, err = client.Get(server.URL)
		assertMalformed(t, err)
		_, err = newClient(t).Get(server.URL)
		_, unknown := errors.AsType[*tls.CertificateVerificationError](err)
		is.True(unknown)
	})
	t.Run("refuses a body of unknown length", func(t *testing.T) {
		_, err := newClient(t).Post("http://127.0.0.1:1/", "", io.MultiReader(strings.NewReader("x")))
		is.New(t).True(errors.Is(err, errUnknownLength))
	})
}
