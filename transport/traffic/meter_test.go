package traffic

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func assertUsage(t *testing.T, u Usage, calls, leastIn, leastOut int64) {
	t.Helper()
	is := is.New(t)
	is.Equal(u.Calls, calls)
	is.True(u.BytesIn >= leastIn)
	is.True(u.BytesIn < leastIn+1000)
	is.True(u.BytesOut >= leastOut)
	is.True(u.BytesOut < leastOut+1000)
}

func TestMeter(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strings.Repeat("x", 2000))
	}))
	defer server.Close()
	meter := NewMeter(Kind{"append", "POST", "/streams/"}, Kind{"read", "GET", "/streams/"})
	client := &http.Client{Transport: &http.Transport{DialContext: meter.Wrap((&net.Dialer{}).DialContext)}}
	defer client.CloseIdleConnections()
	for _, call := range []struct{ method, path string }{{"GET", "/streams/a"}, {"POST", "/base/streams/a"}, {"GET", "/streams/b"}} {
		request, err := http.NewRequest(call.method, server.URL+call.path, strings.NewReader(strings.Repeat("y", 10_000)))
		is.NoErr(err)
		response, err := client.Do(request)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	usage := meter.Usage()
	assertUsage(t, usage[0], 1, 2000, 10_000)
	assertUsage(t, usage[1], 2, 4000, 20_000)
}
