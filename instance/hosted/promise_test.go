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

// promises lists the statuses that tell a caller that its request has not run and never will.
var promises = []string{"503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout", "421 Misdirected Request"}

// An endpoint that had run a request sent a bare 503, which callers took for the promise that it had not run. Only an endpoint that says so, or the
// instance for what it has not sent, may promise that.
func TestPromiseOfRequestThatHasRunIsForwarded(t *testing.T) {
	f := newSpoiltFleet(t)
	for n, promise := range promises {
		for m, framing := range malformedFramings {
			for _, signed := range []bool{false, true} {
				for _, path := range malformedPaths {
					t.Run(fmt.Sprintf("%s, %s, signed %t, %s", promise, framing.name, signed, path), func(t *testing.T) {
						is := is.New(t)
						id := fmt.Sprint("p", n, "-", m, signed, path[1:5])
						serve := raw(func(c net.Conn, _ *http.Request) {
							text := "HTTP/1.1 " + promise + "\r\n" + standin.HeaderRequest + ": " + id + "\r\n" + standin.HeaderRetry + ": 0\r\n"
							if signed {
								text += standin.HeaderSignature + ": signed\r\n"
							}
							_, _ = io.WriteString(c, text+framing.header+"\r\n"+framing.body)
						})
						f.desk.Fail(serve)
						f.model.Fail(serve)
						spec := requestSpec{instance: f.instance, method: "POST", path: path, id: id}
						if path == "/long/" || path == "/short/" {
							spec.headers = map[string]string{standin.HeaderTokens: "100,3"}
						}
						response, _ := f.request(spec)
						if repeatable := path == "/read/" || path == "/short/"; signed && repeatable { // the endpoint's own failure
							is.Equal(response.Status, promise)
							is.Equal(response.Header.Get(standin.HeaderSignature), "signed")
							return
						}
						is.Equal(response.StatusCode, http.StatusBadGateway)
						is.Equal(response.Header.Get(standin.HeaderSignature), "")
					})
				}
			}
		}
	}
}

// An endpoint that says that it has not run a request is believed, as is one that names another process than the expected one.
func TestRefusalOfEndpointIsForwarded(t *testing.T) {
	f := newSpoiltFleet(t)
	for n, sign := range []string{standin.HeaderNotRun + ": 1\r\n", "Instance-Id: d-9\r\n"} {
		for m, promise := range promises {
			if n == 1 && promise != promises[3] {
				continue
			}
			t.Run(promise+" "+sign, func(t *testing.T) {
				is := is.New(t)
				f.desk.Fail(raw(func(c net.Conn, _ *http.Request) {
					_, _ = io.WriteString(c, "HTTP/1.1 "+promise+"\r\n"+sign+"Content-Length: 0\r\n\r\n")
				}))
				response, body := f.request(requestSpec{instance: f.instance, method: "POST", path: "/write/", id: fmt.Sprint("q", n, "-", m)})
				is.Equal(response.StatusCode, http.StatusServiceUnavailable)
				is.Equal(body, "not run: refused\n")
			})
		}
	}
}
