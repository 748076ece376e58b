package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/protocol/answer"
	"dogwooddyke/protocol/call"
	"dogwooddyke/protocol/order"
)

// raw runs an endpoint that serves each request with bytes of its own.
func raw(t *testing.T, write func(c net.Conn)) netip.AddrPort {
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		write(c)
		_ = c.Close()
	})
}

// exchanges are the requests that an instance sends to endpoints; each returns the error with which it ends.
var exchanges = map[string]func(t *testing.T, at netip.AddrPort) error{
	"call that may be repeated": func(t *testing.T, at netip.AddrPort) error { return readCall(t, at, "GET", true) },
	"call that may not":         func(t *testing.T, at netip.AddrPort) error { return readCall(t, at, "POST", false) },
	"start of a generation": func(t *testing.T, at netip.AddrPort) error {
		stream, err := newEngines(t).Start(t.Context(), at, "a.1", &answer.Request{Path: "/", Body: []byte("{}")})
		return readStream(t, stream, err)
	},
	"return to a generation": func(t *testing.T, at netip.AddrPort) error {
		stream, err := newEngines(t).Resume(t.Context(), at, "a.1", 3)
		return readStream(t, stream, err)
	},
	"end of a generation": func(t *testing.T, at netip.AddrPort) error { return newEngines(t).Cancel(t.Context(), at, "a.1") },
	"load": func(t *testing.T, at netip.AddrPort) error {
		_, err := NewLoads(newServices(t).clients).Load(t.Context(), at)
		return err
	},
	"order": func(t *testing.T, at netip.AddrPort) error {
		_, err := NewOrders(newServices(t).clients).Send(t.Context(), at, order.Order{})
		return err
	},
}

func readCall(t *testing.T, at netip.AddrPort, method string, repeatable bool) error {
	response, err := newServices(t).Do(t.Context(), at, &call.Request{Method: method, Path: "/", Body: []byte("x")}, repeatable)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, call.MaximumKeptBytes)) // the rest is handed on to the caller
	return err
}

func readStream(t *testing.T, stream answer.Stream, err error) error {
	for err == nil {
		_, err = stream.Next(t.Context())
	}
	if stream != nil {
		_ = stream.Close()
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}

// Bytes of an endpoint that are no response of HTTP were taken for one on the own interface too.
func TestMalformedResponse(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200\r\n", "HTTP/9.9 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n", "HTTP/1.1 200 OK\r\nX Part: a\r\n"} {
		for name, exchange := range exchanges {
			t.Run(name+" "+head, func(t *testing.T) {
				is := is.New(t)
				at := raw(t, func(c net.Conn) { _, _ = io.WriteString(c, head+"\r\n"+chunks+"{}") })
				err := exchange(t, at)
				is.True(err != nil)
				is.True(!errors.Is(err, answer.ErrNotStarted)) // it may have run
			})
		}
	}
}

// A response without a length counted as whole on the own interface although its service had crashed within it.
func TestUnframedResponseOfCrashedService(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		t.Run(fmt.Sprintf("crashes %t", crashes), func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
				}
				if crashes {
					_ = listener.Close()
				}
				_ = c.Close()
			}()
			response, err := newServices(t).Do(t.Context(), listener.Addr().(*net.TCPAddr).AddrPort(), &call.Request{Method: "POST", Path: "/"}, false)
			is.NoErr(err)
			_, err = io.ReadAll(response.Body)
			is.Equal(err != nil, crashes)
			is.NoErr(response.Body.Close())
		})
	}
}

// What an endpoint sends without end must be neither kept nor read without end.
func TestResponseWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct{ name, begin, text string }{
		{"head", "", "HTTP/1.1 200 OK"},
		{"field", ok + "X-Part: ", "x"},
		{"fields", ok, "X-Part: x\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body of an error", "HTTP/1.1 500 Error\r\n\r\n", "x"},
		{"body", ok + "\r\n", "data: x"},
		{"size of a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"extension of a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", "X-Part: x\r\n"},
	} {
		for name, exchange := range exchanges {
			t.Run(c.name+", "+name, func(t *testing.T) {
				is := is.New(t)
				sent := make(chan int, 16)
				at := raw(t, func(conn net.Conn) { sent <- endless(conn, c.begin, c.text) })
				_ = exchange(t, at) // a body that is handed on to its caller is no error
				is.True(<-sent < maximumEndlessBytes)
			})
		}
	}
}

// maximumEndlessBytes is more than any limit of what is read, and what the kernel holds of a connection.
const maximumEndlessBytes = 64 << 20

// endless writes the text again and again until the other side closes, and returns how many bytes the connection took.
func endless(c net.Conn, begin, text string) int {
	block := bytes.Repeat([]byte(text), 1+(32<<10)/len(text))
	sent, _ := io.WriteString(c, begin)
	_ = c.SetWriteDeadline(time.Now().Add(20 * time.Second))
	for sent < maximumEndlessBytes {
		n, err := c.Write(block)
		sent += n
		if timeout, ok := errors.AsType[net.Error](err); ok && timeout.Timeout() {
			return maximumEndlessBytes // the connection was left open
		}
		if err != nil {
			break
		}
	}
	return sent
}
