package hosted

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
)

// A catalogue may drop the service of a run while no endpoint works on the run, or while its endpoint is leaving. The run goes on by that service; new requests do not.
func TestRunOfDroppedServiceIsCut(t *testing.T) {
	for name, refuses := range map[string]bool{"the target takes it": false, "the target refuses it": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			i, one, response := f.startStream("m1", 1000)
			two := f.startEngine("m-2", "model")
			f.eventually("both engines", func() bool { return len(i.roster.List()) == 2 })
			moved := func() bool {
				for _, s := range two.Seen() {
					if s.Header.Get(standin.HeaderCopy) != "" {
						return true
					}
				}
				return false
			}
			two.Fail(func(w http.ResponseWriter, r *http.Request) bool {
				return refuses && !moved() && standin.Refused(w, r)
			})
			dropped := bytes.ReplaceAll(standin.Catalogue(2, "desk"), []byte(`"model"`), []byte(`"other"`))
			f.log.Put(platform.TopicOperator, platform.KeyCatalogue, dropped)
			f.eventually("dropped", func() bool { return i.table.Load().Services["model"] == nil })
			f.log.Put(platform.TopicEndpoints, "m-1", one.Entry("model", "a", "draining"))
			f.eventually("moved", moved)
			assertEvents(t, response.Body, "m1", 1000)
			again, _ := f.request(requestSpec{instance: i, method: "POST", path: "/long/", id: "m2", headers: map[string]string{standin.HeaderTokens: "100,5"}})
			is.Equal(again.StatusCode, http.StatusServiceUnavailable)
			is.True(!strings.Contains(again.Header.Get("Content-Type"), "event-stream"))
		})
	}
}
