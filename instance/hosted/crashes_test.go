package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
)

func TestCrashIsNoticed(t *testing.T) {
	f := newFleet(t)
	f.publishCatalogue(1, "desk")
	model := f.startEngine("m-1", "model")
	i := f.startInstance()
	f.awaitReady(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 1 })
	send := func(id, parts string) string {
		_, body := f.request(requestSpec{instance: i, method: "POST", path: "/long/", id: id, headers: map[string]string{standin.HeaderTokens: "100,4", standin.HeaderParts: parts}})
		return body
	}
	t.Run("a connection that is lost does not count", func(t *testing.T) {
		is := is.New(t)
		model.Fail(model.Lost)
		send("c1", "a1:10,b1:20,c1:30")
		is.Equal(testutil.ToFloat64(i.observer.metrics.crashes), 0.0)
		model.Fail(nil)
	})
	t.Run("an endpoint that ends before it has produced output counts", func(t *testing.T) {
		is := is.New(t)
		f.engines.CrashOn("b1", func(*standin.Engine, string) {})
		response := f.send(requestSpec{instance: i, method: "POST", path: "/long/", id: "c2", headers: map[string]string{standin.HeaderTokens: "100,4", standin.HeaderParts: "a1:10,b1:20,c2:30"}})
		defer func() { _ = response.Body.Close() }()
		is.Equal(response.StatusCode, http.StatusBadGateway)
		is.Equal(testutil.ToFloat64(i.observer.metrics.crashes), 1.0)
		is.Equal(f.engines.Crashes(), 1)
	})
}

// crashFleet is a fleet of three instances before engines that crash on the part "b1" of a prompt; each is replaced then.
type crashFleet struct {
	*fleet
	started atomic.Int32 // engines
	sent    int          // requests
}

func newCrashFleet(t *testing.T) *crashFleet {
	f := &crashFleet{fleet: newFleet(t)}
	f.publishCatalogue(1, "desk")
	for range 4 {
		f.startNext()
	}
	f.engines.CrashOn("b1", func(e *standin.Engine, _ string) {
		f.log.Put(platform.TopicEndpoints, e.ID, nil)
		f.startNext()
	})
	for range 3 {
		f.startReady()
	}
	return f
}

func (f *crashFleet) startNext() { f.startEngine(fmt.Sprint("m-", f.started.Add(1)), "model") }

// startReady starts an instance and waits until it knows engines.
func (f *crashFleet) startReady() *Instance {
	i := f.startInstance()
	f.awaitReady(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) >= 4 })
	return i
}

// generate sends a request whose prompt starts with the parts to the next instance, and reports whether it got its whole answer of so many
// events.
func (f *crashFleet) generate(path, parts string, events int) bool {
	return f.generateAt(f.instances[f.sent%len(f.instances)], path, parts, events)
}

func (f *crashFleet) generateAt(i *Instance, path, parts string, events int) bool {
	f.sent++
	response, body := f.request(requestSpec{instance: i, method: "POST", path: path, id: fmt.Sprint("g", f.sent), headers: map[string]string{
		standin.HeaderTokens: fmt.Sprint("100,", events),
		standin.HeaderParts:  fmt.Sprint(parts, ",e", f.sent, ":30"),
	}})
	return response.StatusCode == http.StatusOK && strings.Contains(body, fmt.Sprint("-", events, "\n"))
}

const (
	allowedCrashes  = 5               // before the part must be known
	learningSpan    = 3 * time.Second // after the last of these, in which more requests may arrive
	allowedArrivals = 3               // requests with the part that may reach endpoints after that
	crashPause      = 150 * time.Millisecond
	longRun         = 300 // events; the run has a backup
	shortRun        = 6   // events
)

// assertCrashesEnd sends requests with the part on which engines crash, and sound ones between them that share the other parts. It checks
// that, once allowedCrashes engines have crashed, at most allowedArrivals more follow, and that the sound requests are served.
func (f *crashFleet) assertCrashesEnd(path string) {
	f.t.Helper()
	is := is.New(f.t)
	served, sound := 0, 0
	send := func(until func() bool) {
		for n := 0; n < 20 && !until(); n++ {
			f.generate(path, "a1:10,b1:20,c1:5", longRun)
			time.Sleep(crashPause)
			sound++
			if f.generate(path, fmt.Sprint("a1:10,d", n, ":20"), shortRun) {
				served++
			}
		}
	}
	send(func() bool { return f.engines.Crashes() >= allowedCrashes })
	if f.engines.Crashes() >= allowedCrashes {
		time.Sleep(learningSpan)
	}
	known := max(f.engines.Crashes(), allowedCrashes)
	send(func() bool { return false })
	f.t.Logf("%d crashes, %d of %d sound requests served", f.engines.Crashes(), served, sound)
	is.True(f.engines.Crashes() <= known+allowedArrivals)
	is.True(2*served >= sound)
}

func TestPartCrashesEndpointsOneAfterTheOther(t *testing.T) {
	t.Run("by requests that run once", func(t *testing.T) {
		t.Parallel()
		newCrashFleet(t).assertCrashesEnd("/long/")
	})
	t.Run("by requests that are repeated", func(t *testing.T) {
		t.Parallel()
		newCrashFleet(t).assertCrashesEnd("/short/")
	})
	t.Run("by requests at an instance that has just started", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		f := newCrashFleet(t)
		f.assertCrashesEnd("/long/")
		known := f.engines.Crashes()
		i := f.startReady()
		f.eventually("reports of the others", func() bool { return live(i) == 4 })
		time.Sleep(learningSpan)
		for range 10 {
			f.generateAt(i, "/long/", "a1:10,b1:20,c1:5", longRun)
		}
		is.True(f.engines.Crashes() <= known+allowedArrivals)
	})
}

func TestOneRequestCrashesEndpointsThroughItsBackups(t *testing.T) {
	is := is.New(t)
	f := newCrashFleet(t)
	f.generate("/long/", "a1:10,b1:20,c1:5", longRun)
	t.Logf("%d crashes", f.engines.Crashes())
	is.True(f.engines.Crashes() <= 2)
}
