package hosted

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"dogwooddyke/platform/standin"
)

// A stream that had begun and broke off during a stop was refused its continuation, since it was not likely to end in time, and so broken off for good.
func TestStopRefusesStreamThatHasBegun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publishCatalogue(1, "desk")
	var broken atomic.Bool
	noticed := make(chan struct{})
	for n := range 2 {
		f.startEngine(fmt.Sprint("m-", n), "model").Fail(func(w http.ResponseWriter, r *http.Request) bool {
			if !broken.CompareAndSwap(false, true) {
				return false
			}
			signed(w, r)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: s-1\n\n")
			_ = http.NewResponseController(w).Flush()
			<-noticed
			panic(http.ErrAbortHandler)
		})
	}
	i := f.startInstance()
	f.awaitReady(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 2 })
	response := f.send(requestSpec{instance: i, method: "POST", path: "/short/", id: "s", headers: map[string]string{standin.HeaderTokens: "100,400"}})
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusOK)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		i.Drain()
	}()
	f.eventually("draining", func() bool { return i.connections.stopping.Load() })
	close(noticed)
	assertEvents(t, response.Body, "s", 400)
	<-stopped
}
