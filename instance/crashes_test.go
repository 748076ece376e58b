package instance

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"dogwooddyke/standin"
)

// conversation is a request whose prompt has a message that other requests share, another one, and its own.
func conversation(message string, number int) string {
	return fmt.Sprintf(`{"model":"isoraklet","stream":true,"seed":7,"messages":[{"role":"system","content":"shared"},{"role":"user","content":%q},{"role":"user","content":"tokens=3 %d"}]}`, message, number)
}

func TestMessageCrashesEnginesOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 0, 3)
	started := func() int {
		sum := 0
		for _, e := range f.engines {
			sum += e.Counters().Started
		}
		return sum
	}
	for _, e := range f.engines {
		is.NoErr(e.Fault(standin.Fault{Kind: standin.FaultCrashOn, Text: "fatal"}))
	}
	for n := range 12 {
		response := f.post(n%2, conversation("fatal", n))
		readEvents(response.Body, 1<<20)
	}
	t.Logf("%d generations started", started())
	is.True(started() <= 5+3)
	f.await("sound requests served", func() bool {
		response := f.post(0, conversation("sound", 1))
		readEvents(response.Body, 1<<20)
		return response.StatusCode == http.StatusOK
	})
	known := started()
	for n := range 10 {
		response := f.post(n%2, conversation("sound", n))
		is.Equal(response.StatusCode, http.StatusOK)
		readEvents(response.Body, 1<<20)
		response = f.post(n%2, conversation("fatal", n))
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.True(response.Header.Get("Retry-After") != "")
	}
	is.Equal(started(), known+10)
}
