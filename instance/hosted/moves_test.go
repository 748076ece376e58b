package hosted

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
)

// A run that was stopped to be moved must not end because the endpoint that has its copy does not take it.
func TestMovedRunIsRefused(t *testing.T) {
	for name, refuse := range map[string]func(w http.ResponseWriter, r *http.Request) bool{
		"not run": standin.Refused,
		"not run, and asks for rest": func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("Retry-After", "0.5")
			return standin.Refused(w, r)
		},
		"another process": func(w http.ResponseWriter, _ *http.Request) bool {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return true
		},
		"connection broken before the head": func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			_, one, response := f.startStream("m1", 1000)
			two := f.startEngine("m-2", "model")
			f.eventually("both engines", func() bool { return len(f.instances[0].roster.List()) == 2 })
			var refused atomic.Int32
			two.Fail(func(w http.ResponseWriter, r *http.Request) bool {
				return r.Header.Get(standin.HeaderCopy) != "" && refused.Add(1) == 1 && refuse(w, r)
			})
			f.log.Put(platform.TopicEndpoints, "m-1", one.Entry("model", "a", "draining"))
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.True(strings.Contains(string(body), "m1-1000"))
			is.True(refused.Load() > 0)
			is.Equal(f.engines.Ran("m1"), 1) // it never ran from its beginning again
		})
	}
}
