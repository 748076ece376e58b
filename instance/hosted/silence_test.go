package hosted

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
)

// An instance must learn of a change although its waiting read of the log is never answered: because the connections to the log have gone silent
// while new ones work, or because the log does not answer that read.
func TestChangeIsMissedWhileReadIsUnanswered(t *testing.T) {
	for _, c := range []struct {
		name  string
		fleet int
		fault func(l *standin.Log)
	}{
		{"connections have gone silent", 3, (*standin.Log).SilenceConnections},
		{"connections of a larger fleet have gone silent", 8, (*standin.Log).SilenceConnections},
		{"reads go on waiting", 3, (*standin.Log).KeepWaiting},
		{"reads of a larger fleet go on waiting", 8, (*standin.Log).KeepWaiting},
		{"connections go silent twice", 3, func(l *standin.Log) {
			l.SilenceConnections()
			time.Sleep(700 * time.Millisecond)
			l.SilenceConnections()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t)
			f.publishCatalogue(1, "desk")
			f.startEngine("d-1", "desk")
			f.startEngine("o-1", "other")
			for range c.fleet {
				f.awaitReady(f.startInstance())
			}
			f.eventually("peers", func() bool { return live(f.instances[0]) == c.fleet })
			c.fault(f.log)
			published := time.Now()
			f.publishCatalogue(2, "other")
			f.eventually("version 2 at all instances", func() bool {
				for _, i := range f.instances {
					if i.catalogueVersion() != 2 {
						return false
					}
				}
				return true
			})

			t.Logf("in force everywhere after %s", time.Since(published).Round(time.Millisecond))
			response, _ := f.request(requestSpec{instance: f.instances[0], method: "POST", path: "/write/", id: "w1"})
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(f.engines.Ran("w1"), 1)
			f.log.Put(platform.TopicEndpoints, "o-1", nil)
			f.eventually("removal at all instances", func() bool {
				for _, i := range f.instances {
					if len(i.roster.List()) != 1 {
						return false
					}
				}
				return true
			})
		})
	}
}
