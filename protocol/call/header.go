package call

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are hop-by-hop headers, which apply to one connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// callerHeaders are request headers that are meant for the instance and are not forwarded to services.
var callerHeaders = []string{"Authorization", "Content-Length", "Expect", "Host"}

// RequestHeader returns the headers of a caller's request that are forwarded to the service.
func RequestHeader(header http.Header) http.Header {
	forwarded := withoutHop(header)
	for _, name := range callerHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// ResponseHeader returns the headers of a service's response that are forwarded to the caller.
func ResponseHeader(header http.Header) http.Header { return withoutHop(header) }

// withoutHop returns a copy of the headers without the hop-by-hop ones and those that the Connection header names.
func withoutHop(header http.Header) http.Header {
	forwarded := header.Clone()
	if forwarded == nil {
		forwarded = http.Header{}
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			forwarded.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}
