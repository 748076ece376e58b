package hosted

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
)

// publishEdited publishes a version of the catalogue in which some text is replaced.
func (f *fleet) publishEdited(version int, replaced ...string) {
	f.t.Helper()
	edited := []byte(strings.NewReplacer(replaced...).Replace(string(standin.Catalogue(version, "desk"))))
	if bytes.Equal(edited, standin.Catalogue(version, "desk")) || !json.Valid(edited) {
		f.t.Fatalf("catalogue: %s", edited)
	}
	f.log.Put(platform.TopicOperator, platform.KeyCatalogue, edited)
}

// A request that an instance has read must get its whole answer, or a refusal, whatever a new version of the catalogue says of its route.
func TestConfigurationCutsRequest(t *testing.T) {
	for change, replaced := range map[string][]string{
		"routes are moved":         {`"service":"desk"`, `"service":"other"`, `"service":"model"`, `"service":"other"`},
		"routes are removed":       {standin.Host, "elsewhere.example"},
		"services are removed":     {`"name":"desk"`, `"name":"other2"`, `"name":"model"`, `"name":"other3"`, `"service":"desk"`, `"service":"other"`, `"service":"model"`, `"service":"other"`},
		"time-outs are shorter":    {`"timeout_ms":15000`, `"timeout_ms":50`},
		"the holder's key changes": {standin.Key, "key-2"},
	} {
		for _, c := range []struct {
			name     string
			request  string // head, and a part of the body
			rest     string // sent after the change
			sent     bool   // the change comes when an endpoint has the request
			accepted []int
		}{
			{"streams", headOf("POST", "/long/", "s", standin.HeaderTokens+": 100,300\r\nContent-Length: 0\r\n"), "", true, []int{200}},
			{"has been sent", headOf("POST", "/write/wait", "w", "Content-Length: 0\r\n"), "", true, []int{200}},
			{"has been sent and may be repeated", headOf("GET", "/read/wait", "r", ""), "", true, []int{200}},
			{"has half of its body", headOf("POST", "/write/wait", "b", "Content-Length: 10\r\n") + "01234", "56789", false, []int{200, 503}},
			{"waits for an endpoint", headOf("POST", "/short/", "q", standin.HeaderTokens+": 100,50\r\nContent-Length: 0\r\n"), "", false, []int{200, 503}},
		} {
			t.Run(change+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFleet(t)
				f.publishCatalogue(1, "desk")
				changed := make(chan struct{})
				desk := f.startEngine("d-1", "desk")
				desk.Fail(func(_ http.ResponseWriter, r *http.Request) bool {
					if strings.HasSuffix(r.URL.Path, "/wait") {
						<-changed
					}
					return false
				})
				model := f.startEngine("m-1", "model")
				i := f.startInstance()
				f.awaitReady(i)
				f.eventually("endpoints", func() bool { return len(i.roster.List()) == 2 })
				if strings.HasPrefix(c.name, "waits") {
					model.Rest(http.StatusServiceUnavailable, 3*time.Second)
				}
				caller := f.connect(i)
				caller.write(c.request)
				f.eventually("read", func() bool { return i.front.InFlight() == 1 && (!c.sent || len(desk.Seen())+len(model.Seen()) == 1) })
				f.publishEdited(2, replaced...)
				f.eventually("version", func() bool { return i.table.Load().Version == 2 })
				time.Sleep(50 * time.Millisecond) // the router follows the table
				close(changed)
				caller.write(c.rest)
				got := caller.read()
				t.Logf("%+v", got)
				is.True(slices.Contains(c.accepted, got.status))
				is.True(got.whole)
				is.True(got.status != http.StatusServiceUnavailable || got.retry != "")
			})
		}
	}
}

// A request that has come before the instance is ready must get an answer before a stop ends.
func TestStopBeforeReady(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.grace = time.Second
	i := f.startInstance() // there is no catalogue
	caller, late := f.connect(i), f.connect(i)
	caller.write(headOf("POST", "/write/", "w", "Content-Length: 0\r\n"))
	f.eventually("read", func() bool { return i.front.InFlight() == 1 })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		i.Drain()
		i.Close()
	}()
	f.eventually("draining", i.draining.Load)
	late.write(headOf("POST", "/write/", "l", "Content-Length: 0\r\n"))
	for _, c := range []*connection{caller, late} {
		got := c.read()
		is.Equal(fmt.Sprint(got.status, got.whole), "503 true")
		is.True(got.retry != "")
	}
	<-stopped
}
