package endpoint

import (
	"errors"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/protocol/answer"
	"dogwooddyke/protocol/call"
)

func TestDo(t *testing.T) {
	t.Run("actionIsSentOnce", func(t *testing.T) {
		is := is.New(t)
		var runs atomic.Int64
		at := serve(t, func(_ http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				return
			}
			runs.Add(1)
			panic(http.ErrAbortHandler) // the action took effect, the answer is lost
		})
		clients := NewClients()
		defer clients.Close()
		services := NewServices(clients)
		for range 3 { // leaves a connection in the pool, on which net/http would send a keyed request again
			response, err := services.Do(t.Context(), at, &call.Request{Method: "GET", Path: "/"}, true)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
		}
		header := http.Header{"Idempotency-Key": {"k"}}
		_, err := services.Do(t.Context(), at, &call.Request{Method: "POST", Path: "/log", Header: header}, false)
		is.True(err != nil)
		is.True(!errors.Is(err, answer.ErrNotStarted))
		is.Equal(runs.Load(), int64(1))
	})
	t.Run("serviceRefuses", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Outcome", "notRun")
			w.WriteHeader(http.StatusBadRequest)
		})
		_, err := newServices(t).Do(t.Context(), at, &call.Request{Method: "POST", Path: "/log"}, false)
		refused, ok := errors.AsType[*answer.RefusedError](err)
		is.True(ok)
		is.True(refused.Final())
	})
	t.Run("serviceAsksForRest", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Retry-After", r.URL.Query().Get("rest"))
			w.Header().Set("Outcome", "notRun")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		clients := NewClients()
		defer clients.Close()
		rests := map[netip.AddrPort]time.Duration{}
		clients.OnRest = func(e netip.AddrPort, until time.Time) { rests[e] = time.Until(until).Round(time.Second) }
		for _, value := range []string{"", "0", "x", "-1", "3"} {
			_, err := NewServices(clients).Do(t.Context(), at, &call.Request{Method: "POST", Path: "/log?rest=" + value}, false)
			is.True(errors.Is(err, answer.ErrNotStarted))
		}
		is.Equal(rests, map[netip.AddrPort]time.Duration{at: 3 * time.Second})
	})
	t.Run("redirectIsPassedOn", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		})
		response, err := newServices(t).Do(t.Context(), at, &call.Request{Method: "POST", Path: "/log"}, false)
		is.NoErr(err)
		is.Equal(response.Status, http.StatusTemporaryRedirect)
		is.NoErr(response.Body.Close())
	})
	t.Run("keyIsPassedOnAndCallerKeyIsNot", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(w http.ResponseWriter, r *http.Request) {
			is.Equal(r.Header.Get("Idempotency-Key"), "k")
			is.Equal(r.Header.Get("Authorization"), "")
			is.Equal(r.URL.RawQuery, "a=1")
			w.WriteHeader(http.StatusCreated)
		})
		header := http.Header{"Idempotency-Key": {"k"}, "Authorization": {"Bearer secret"}}
		response, err := newServices(t).Do(t.Context(), at, &call.Request{Method: "PUT", Path: "/log?a=1", Header: header}, false)
		is.NoErr(err)
		is.Equal(response.Status, http.StatusCreated)
		is.NoErr(response.Body.Close())
	})
}

func newServices(t *testing.T) *Services {
	t.Helper()
	clients := NewClients()
	t.Cleanup(clients.Close)
	return NewServices(clients)
}
