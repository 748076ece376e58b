package response

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// heads lists heads, and why each is none of a response; an empty reason: it is one.
var heads = []struct{ text, reason string }{
	{"HTTP/1.1 200 OK\r\n\r\n", ""},
	{"HTTP/1.1 200 \r\n\r\n", ""},
	{"HTTP/1.0 404 Not Found\r\nX:y\r\n\r\n", ""},
	{"HTTP/1.1 503 Weird \xff reason\t\r\nRetry-After: 0.5 \r\nContent-Length: 0\r\n\r\n", ""},
	{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n", ""},
	{"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", ""},
	{"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""},
	{"HTTP/1.1 599 Odd\r\n\r\n", ""},
	{"HTTP/1.1 000 OK\r\n", "status line has no status of HTTP"},
	{"HTTP/1.1 099 OK\r\n", "status line has no status of HTTP"},
	{"HTTP/1.1 600 OK\r\n", "status line has no status of HTTP"},
	{"HTTP/1.1 200\r\n", "status line has no status of HTTP"},
	{"HTTP/1.1 101 Switching Protocols\r\n", "change of protocol that was not asked for"},
	{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 +20 OK\r\n", "status line has no status of HTTP"},
	{"HTTP/2.0 200 OK\r\n", "status line names no version of HTTP/1"},
	{"\r\n", "status line names no version of HTTP/1"},
	{"HTTP/1.1 200 OK\n", "line of a head ends without a carriage return"},
	{"HTTP/1.1 200 O\rK\r\n", "reason phrase has a control character"},
	{"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n", "line of a head names no field"},
	{"HTTP/1.1 200 OK\r\nX-Part: a\r\n b\r\n", "line of a head names no field"},
	{"HTTP/1.1 200 OK\r\nX-Part\r\n", "line of a head names no field"},
	{"HTTP/1.1 103 Early Hints\r\nX Part: a\r\n", "line of a head names no field"},
	{"HTTP/1.1 200 OK\r\nX-Part: a\x00b\r\n", "value of a field has a control character"},
	{"HTTP/1.1 200 OK\r\nContent-Length: +6\r\n", "length of the body is no number"},
	{"HTTP/1.1 200 OK\r\nContent-Length:\r\n", "length of the body is no number"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n", "transfer coding is unknown"},
	{"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n", "head says more than once where its body ends"},
	{"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Length: 6\r\n\r\n", "head says more than once where its body ends"},
	{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "response may not be sent in chunks"},
	{"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", "response may not be sent in chunks"},
	{"HTTP/1.1 204 No Content\r\nContent-Length: 6\r\n\r\n", "response has a length though its status allows no body"},
}

func TestHead(t *testing.T) {
	for _, c := range heads {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			for size := 1; size <= len(c.text); size++ {
				whole, err := checkPieces([]byte(c.text), size)
				if c.reason == "" {
					is.NoErr(err)
					is.True(whole)
					continue
				}
				malformed, ok := errors.AsType[*MalformedError](err)
				is.True(ok)
				is.Equal(malformed.Reason, c.reason)
			}
		})
	}
}

// checkPieces checks a head that comes in pieces of some size.
func checkPieces(text []byte, size int) (whole bool, err error) {
	h := head{}
	for came := size; ; came += size {
		whole, err = h.check(text[:min(came, len(text))])
		if whole || err != nil || came >= len(text) {
			return whole, err
		}
	}
}
