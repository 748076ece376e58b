package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/protocol/order"
)

const reportBody = `{"fence":7,"entry":"isoraklet","model":"ice","version":"2","adapters":["norrland"],"role":"","state":"loading"}`

func TestOrders(t *testing.T) {
	asked := order.Order{Fence: 7, Entry: "isoraklet", Model: "ice", Version: "2", Adapters: []string{"norrland"}}
	orders := func(t *testing.T) *Orders {
		t.Helper()
		clients := NewClients()
		t.Cleanup(clients.Close)
		return NewOrders(clients)
	}
	t.Run("sendAndReport", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				body, _ := io.ReadAll(r.Body)
				is.Equal(string(body), `{"fence":7,"entry":"isoraklet","model":"ice","version":"2","adapters":["norrland"],"role":""}`)
			}
			is.Equal(r.URL.Path, "/orders")
			fmt.Fprint(w, reportBody)
		})
		sent, err := orders(t).Send(t.Context(), at, asked)
		is.NoErr(err)
		read, err := orders(t).Report(t.Context(), at)
		is.NoErr(err)
		is.Equal(sent, order.Report{Order: asked, State: order.EngineLoading})
		is.Equal(read, sent)
	})
	for _, c := range []struct {
		name   string
		status int
		body   string
		fenced bool
	}{
		{"fenced", http.StatusConflict, reportBody, true},
		{"unavailable", http.StatusServiceUnavailable, "", false},
		{"notJSON", http.StatusOK, "<html>", false},
		{"tooLarge", http.StatusOK, fmt.Sprintf(`{"entry":%q}`, make([]byte, maximumReportBytes)), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			at := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			})
			_, err := orders(t).Send(t.Context(), at, asked)
			is.True(err != nil)
			is.Equal(errors.Is(err, order.ErrFenced), c.fenced)
		})
	}
	t.Run("silentEngineEndsWithTheContext", func(t *testing.T) {
		is := is.New(t)
		at := serve(t, func(_ http.ResponseWriter, r *http.Request) {
			// The server notices that the caller has left only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := orders(t).Send(ctx, at, asked)
		is.True(errors.Is(err, context.DeadlineExceeded))
	})
}
