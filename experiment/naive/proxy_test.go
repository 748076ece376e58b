package naive

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func newEndpoint(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func TestProxy(t *testing.T) {
	echo := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, name+" "+r.URL.Path) }
	}
	cut := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	p := New([]Entry{
		{Name: "model", Endpoints: []netip.AddrPort{newEndpoint(t, echo("a")), newEndpoint(t, echo("b"))}},
		{Name: "service", Endpoints: []netip.AddrPort{newEndpoint(t, echo("s"))}},
		{Name: "faulty", Endpoints: []netip.AddrPort{newEndpoint(t, cut)}},
	})
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	post := func(path, body string) (string, error) {
		response, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		return strings.TrimSpace(string(text)), err
	}
	t.Run("roundRobin", func(t *testing.T) {
		is := is.New(t)
		seen := map[string]int{}
		for range 4 {
			text, err := post("/v1/chat/completions", `{"model":"model"}`)
			is.NoErr(err)
			seen[text]++
		}
		is.Equal(seen, map[string]int{"a /v1/chat/completions": 2, "b /v1/chat/completions": 2})
	})
	t.Run("service", func(t *testing.T) {
		is := is.New(t)
		text, err := post("/call/service/log", "{}")
		is.NoErr(err)
		is.Equal(text, "s /log")
	})
	t.Run("unknown", func(t *testing.T) {
		is := is.New(t)
		text, err := post("/v1/chat/completions", `{"model":"other"}`)
		is.NoErr(err)
		is.Equal(text, "unknown entry")
	})
	t.Run("cutStaysCut", func(t *testing.T) {
		is := is.New(t)
		_, err := post("/v1/chat/completions", `{"model":"faulty"}`)
		is.True(err != nil)
	})
}
