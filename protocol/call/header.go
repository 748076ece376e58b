package call

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders belong to one connection.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// callerHeaders are for the instance and not for services.
var callerHeaders = []string{"Authorization", "Content-Length", "Expect", "Host"}

// RequestHeader returns the headers that a service gets of a caller's.
func RequestHeader(header http.Header) http.Header {
	passed := withoutHop(header)
	for _, name := range callerHeaders {
		passed.Del(name)
	}
	return passed
}

// ResponseHeader returns the headers that a caller gets of a service's.
func ResponseHeader(header http.Header) http.Header { return withoutHop(header) }

func withoutHop(header http.Header) http.Header {
	passed := header.Clone()
	if passed == nil {
		passed = http.Header{}
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			passed.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	return passed
}
