package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/protocol/answer"
)

const chunks = ": comment\n\n" +
	`data: {"id":"c","generation":"a.1","index":0,"choices":[{"index":0,"delta":{"role":"assistant","content":"Ice"}}]}` + "\n\n" +
	`data: {"id":"c","generation":"a.1","index":1,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n" +
	`data: {"id":"c","generation":"a.1","choices":[],"usage":{"total_tokens":2}}` + "\n\n" +
	"data: [DONE]\n\n"

// serve runs a handler as an endpoint.
func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func newEngines(t *testing.T) *Engines {
	t.Helper()
	clients := NewClients()
	t.Cleanup(clients.Close)
	return NewEngines(clients)
}

func start(t *testing.T, at netip.AddrPort) (answer.Stream, error) {
	t.Helper()
	request := &answer.Request{Path: "/v1/chat/completions", Body: []byte(`{}`)}
	return newEngines(t).Start(t.Context(), at, "a.1", request)
}

func TestStart(t *testing.T) {
	t.Run("tokens", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(w http.ResponseWriter, r *http.Request) {
			is.Equal(r.Header.Get("Generation-Id"), "a.1")
			is.Equal(r.URL.Path, "/v1/chat/completions")
			_, _ = io.WriteString(w, chunks)
		})
		stream, err := start(t, at)
		is.NoErr(err)
		defer stream.Close()
		first, err := stream.Next(t.Context())
		is.NoErr(err)
		is.Equal(first.Text, "Ice")
		is.Equal(string(first.Data), `{"id":"c","choices":[{"index":0,"delta":{"role":"assistant","content":"Ice"}}]}`)
		last, err := stream.Next(t.Context())
		is.NoErr(err)
		is.True(last.Last)
		is.Equal(last.Index, 1)
		usage, err := stream.Next(t.Context())
		is.NoErr(err)
		is.Equal(usage.Index, answer.NoIndex)
		_, err = stream.Next(t.Context())
		is.Equal(err, io.EOF)
	})
	t.Run("cutIsNoEnd", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, chunks[:len(chunks)-3])
		})
		stream, err := start(t, at)
		is.NoErr(err)
		defer stream.Close()
		for range 3 {
			_, err = stream.Next(t.Context())
			is.NoErr(err)
		}
		_, err = stream.Next(t.Context())
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	})
	t.Run("streamOutlivesCall", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, chunks) })
		ctx, cancel := context.WithCancel(t.Context())
		stream, err := newEngines(t).Start(ctx, at, "a.1", &answer.Request{Path: "/"})
		is.NoErr(err)
		defer stream.Close()
		cancel()
		_, err = stream.Next(t.Context())
		is.NoErr(err)
	})
	t.Run("longEvent", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "data: "+strings.Repeat("a", maximumEventBytes+1)+"\n\n")
		})
		stream, err := start(t, at)
		is.NoErr(err)
		defer stream.Close()
		_, err = stream.Next(t.Context())
		is.True(err != nil && !errors.Is(err, io.EOF))
	})
}

func TestNotStarted(t *testing.T) {
	t.Run("dialRefused", func(t *testing.T) {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		at := netip.MustParseAddrPort(listener.Addr().String())
		is.NoErr(listener.Close())
		_, err = start(t, at)
		is.True(errors.Is(err, answer.ErrNotStarted))
	})
	t.Run("answerCut", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		_, err := start(t, at)
		is.True(err != nil)
		is.True(!errors.Is(err, answer.ErrNotStarted))
	})
	t.Run("engineRefuses", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Outcome", "notRun")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		_, err := start(t, at)
		is.True(errors.Is(err, answer.ErrNotStarted))
	})
	t.Run("refusalWithoutOutcome", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		_, err := start(t, at)
		is.True(!errors.Is(err, answer.ErrNotStarted))
	})
	t.Run("silentUntilDeadline", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := newEngines(t).Start(ctx, at, "a.1", &answer.Request{Path: "/"})
		is.True(err != nil)
		is.True(!errors.Is(err, answer.ErrNotStarted))
	})
}

func TestResume(t *testing.T) {
	is := is.New(t)
	at := serve(t, func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.String(), "/generations/a.1?from=7")
		w.WriteHeader(http.StatusNotFound)
	})
	_, err := newEngines(t).Resume(t.Context(), at, "a.1", 7)
	is.True(errors.Is(err, answer.ErrUnknownGeneration))
}

func FuzzStream(f *testing.F) {
	f.Add([]byte(chunks))
	f.Add([]byte("data: {\"index\":-1}\n\n"))
	f.Add([]byte("data: {\"index\":1e99,\"generation\":{}}\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newStream(io.NopCloser(strings.NewReader(string(data))), func() {})
		defer s.Close()
		for {
			token, err := s.Next(context.Background())
			if err != nil {
				return
			}
			if token.Index < answer.NoIndex {
				t.Fatalf("index %d", token.Index)
			}
			if len(token.Data) == 0 || len(token.Data) > maximumEventBytes {
				t.Fatalf("data of %d bytes", len(token.Data))
			}
		}
	})
}
