package hosted

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"dogwooddyke/platform/standin"
)

// malformedPaths lists a path of each kind of route.
var malformedPaths = []string{"/write/", "/read/", "/long/", "/short/"}

// malformedFramings lists the ways to mark the end of a body, each with a body.
var malformedFramings = []struct{ name, header, body string }{
	{"length", "Content-Length: 6\r\n", "answer"},
	{"chunks", "Transfer-Encoding: chunked\r\n", "6\r\nanswer\r\n0\r\n\r\n"},
	{"end of the connection", "", "answer"},
	{"no body", "Content-Length: 0\r\n", ""},
}

// malformedHead is the begin of an answer: its first line and further fields, before those of its framing.
type malformedHead struct {
	first  string
	fields []string
}

// assertNoAnswer has the endpoints send each head, on each kind of route, with framings and signatures in turn, and checks that callers get no answer made
// of it and that the memory budget counts nothing once all requests have ended.
func assertNoAnswer(t *testing.T, heads ...malformedHead) {
	f := newSpoiltFleet(t)
	for n, h := range heads {
		for m, path := range malformedPaths {
			framing, signed := malformedFramings[(n+m)%len(malformedFramings)], n/len(malformedFramings)%2 == 0
			t.Run(fmt.Sprintf("%q %q, %s, signed %t, %s", h.first, h.fields, framing.name, signed, path), func(t *testing.T) {
				is := is.New(t)
				serve := raw(func(c net.Conn, r *http.Request) {
					text := h.first + "\r\n" + standin.HeaderRequest + ": " + r.Header.Get(standin.HeaderRequest) + "\r\n"
					if signed {
						text += standin.HeaderSignature + ": signed\r\n"
					}
					for _, l := range h.fields {
						text += l + "\r\n"
					}
					_, _ = io.WriteString(c, text+framing.header+"\r\n"+framing.body)
				})
				f.desk.Fail(serve)
				f.model.Fail(serve)
				spec := requestSpec{instance: f.instance, method: "POST", path: path, id: fmt.Sprint("r", n, "-", m)}
				if path == "/long/" || path == "/short/" {
					spec.headers = map[string]string{standin.HeaderTokens: "100,3"}
				}
				response, err := http.DefaultTransport.RoundTrip(f.newRequest(spec))
				is.NoErr(err) // the instance answers itself
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(response.StatusCode, http.StatusBadGateway)
				is.Equal(response.Header.Get(standin.HeaderSignature), "")
				is.Equal(string(body), "outcome unknown: spoiled\n")
			})
		}
	}
	f.eventually("held memory is returned", func() bool { return f.instance.memory.Used() == 0 })
}

// Bytes of an endpoint whose status line is none of HTTP/1.1 reached callers as an answer, some of them as a success, and their memory was never returned.
func TestMalformedStatusLineIsTakenForAnAnswer(t *testing.T) {
	var heads []malformedHead
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 -00 OK",
		"HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 OK",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200", "HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.9 200 OK", "HTTP/1.1.1 200 OK", "http/1.1 200 OK", "ICY 200 OK", "XHTTP/1.1 200 OK", " HTTP/1.1 200 OK", "",
	} {
		heads = append(heads, malformedHead{first: line})
	}
	assertNoAnswer(t, heads...)
}

// A field that is none came through with a success: it was left out, and where it said how long the body is, another body was passed on.
func TestMalformedFieldIsTakenForAnAnswer(t *testing.T) {
	var heads []malformedHead
	for _, field := range []string{
		"Content-Length : 3", "Content Length: 3", "Transfer-Encoding : chunked", "X Part: a", "X-Part : a", " X-Part: a", "X-Part: a\r\n b", "X-P\x01art: a",
		"X-Part: a\x00b", "X-Part: a\x7fb", "X-Part: a\rb", "X-Part\x00: a", "X-P\xe4rt: a", "X-P(art): a", "X-P/art: a", "\tX-Part: a", "X-Part", ": a", "X-Part\t: a",
		"Content-Length: +6", "Content-Length: 6, 6", "Content-Length: 0x6", "Content-Length:", "Content-Length: 6\r\nTransfer-Encoding: chunked",
		"Content-Length: 6\r\nContent-Length: 6", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	} {
		heads = append(heads, malformedHead{first: "HTTP/1.1 200 OK", fields: []string{field}})
	}
	heads = append(heads,
		malformedHead{first: "HTTP/1.0 200 OK", fields: []string{"Transfer-Encoding: chunked"}},
		malformedHead{first: "HTTP/1.1 204 No Content", fields: []string{"Transfer-Encoding: chunked"}},
		malformedHead{first: "HTTP/1.1 204 No Content", fields: []string{"Content-Length: 6"}},
		malformedHead{first: "HTTP/1.1 200 OK", fields: []string{"X-Part: a\nX-More: b"}},
		malformedHead{first: "HTTP/1.1 500 Error", fields: []string{"X-Part : a"}},
		malformedHead{first: "HTTP/1.1 103 Early Hints", fields: []string{"X-Part : a\r\n\r\nHTTP/1.1 200 OK"}},
	)
	assertNoAnswer(t, heads...)
}
