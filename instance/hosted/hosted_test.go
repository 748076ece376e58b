package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
)

func TestRequests(t *testing.T) {
	f := newFleet(t)
	f.publishCatalogue(1, "desk")
	model, desk := f.startEngine("m-1", "model"), f.startEngine("d-1", "desk")
	i := f.startInstance()
	f.awaitReady(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 2 })
	t.Run("forwards a request unchanged except for the headers that the system sets", func(t *testing.T) {
		is := is.New(t)
		response, body := f.request(requestSpec{instance: i, method: "POST", path: "/write/x%2Fy?a=b;c", id: "w1", body: "text", headers: map[string]string{
			standin.HeaderWorkspace: "forged", standin.HeaderCopy: "forged", standin.HeaderHold: "forged", standin.HeaderPin: "9", standin.HeaderBackup: "1.2.3.4:5", "X-Other": "kept",
		}})
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(response.Header.Get(standin.HeaderSignature), "signed-by-d-1")
		is.Equal(body, "answer of d-1 to POST /write/x%2Fy?a=b;c")
		seen := desk.Seen()[0]
		is.Equal(seen.Target, "/write/x%2Fy?a=b;c")
		is.Equal(seen.Body, "text")
		is.Equal(seen.Header.Get(standin.HeaderWorkspace), standin.Workspace)
		is.Equal(seen.Header.Get(standin.HeaderExpected), "d-1")
		is.Equal(seen.Header.Get("X-Other"), "kept")
		for _, name := range []string{standin.HeaderKey, standin.HeaderCopy, standin.HeaderHold, standin.HeaderPin, standin.HeaderBackup} {
			is.Equal(seen.Header.Get(name), "")
		}
	})
	t.Run("refuses requests that the catalogue does not allow", func(t *testing.T) {
		is := is.New(t)
		for _, c := range []struct {
			spec   requestSpec
			status int
		}{
			{requestSpec{instance: i, method: "GET", path: "/none/", id: "n1"}, http.StatusNotFound},
			{requestSpec{instance: i, method: "GET", path: "/read/", id: "n2", key: "unknown"}, http.StatusUnauthorized},
			{requestSpec{instance: i, method: "POST", path: "/write/", id: "n3", body: strings.Repeat("x", 5000)}, http.StatusRequestEntityTooLarge},
		} {
			response, _ := f.request(c.spec)
			is.Equal(response.StatusCode, c.status)
		}
		is.Equal(len(desk.Seen()), 1)
	})
	t.Run("streams each event once and in order", func(t *testing.T) {
		is := is.New(t)
		response := f.send(requestSpec{instance: i, method: "POST", path: "/long/", id: "s1", headers: map[string]string{standin.HeaderTokens: "100,20"}})
		defer func() { _ = response.Body.Close() }()
		is.Equal(response.Header.Get(standin.HeaderSignature), "signed-by-m-1")
		assertEvents(t, response.Body, "s1", 20)
		is.Equal(model.Seen()[0].Header.Get(standin.HeaderTokens), "100,20")
	})
	t.Run("returns the response headers of a stream that the caller has received completely", func(t *testing.T) {
		is := is.New(t)
		response, body := f.request(requestSpec{instance: i, method: "POST", path: "/short/", id: "s2", headers: map[string]string{standin.HeaderTokens: "100,4", standin.HeaderLastEvent: "4"}})
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(response.Header.Get(standin.HeaderSignature), "signed-by-m-1")
		is.Equal(body, "")
	})
}

func TestFailures(t *testing.T) {
	f := newFleet(t)
	f.publishCatalogue(1, "desk")
	one, two := f.startEngine("d-1", "desk"), f.startEngine("d-2", "desk")
	i := f.startInstance()
	f.awaitReady(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 2 })
	both := func(fault func(w http.ResponseWriter, r *http.Request) bool) {
		one.Fail(fault)
		two.Fail(fault)
	}
	t.Run("a request that all endpoints refuse is not run and gets a Retry-After header", func(t *testing.T) {
		is := is.New(t)
		both(standin.Refused)
		response, _ := f.request(requestSpec{instance: i, method: "POST", path: "/write/", id: "f1"})
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.True(response.Header.Get("Retry-After") != "")
		is.Equal(f.engines.Ran("f1"), 0)
	})
	t.Run("a request that may run only once is not sent again after its response is lost and gets status 502", func(t *testing.T) {
		is := is.New(t)
		both(one.Lost)
		response, _ := f.request(requestSpec{instance: i, method: "POST", path: "/write/", id: "f2"})
		is.Equal(response.StatusCode, http.StatusBadGateway)
		is.Equal(f.engines.Ran("f2"), 1)
	})
	t.Run("a repeatable request is sent to a second endpoint", func(t *testing.T) {
		is := is.New(t)
		both(nil)
		var lost atomic.Bool
		fail := func(w http.ResponseWriter, r *http.Request) bool {
			return !lost.Swap(true) && one.Lost(w, r)
		}
		both(fail)
		response, _ := f.request(requestSpec{instance: i, method: "GET", path: "/read/", id: "f3"})
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(f.engines.Ran("f3"), 2)
	})
	t.Run("an error response is forwarded if no endpoint answers to the repeat", func(t *testing.T) {
		is := is.New(t)
		var failed atomic.Bool
		both(func(w http.ResponseWriter, r *http.Request) bool {
			if failed.Swap(true) {
				return one.Lost(w, r)
			}
			w.Header().Set(standin.HeaderSignature, "signed")
			w.WriteHeader(http.StatusInternalServerError)
			return true
		})
		response, _ := f.request(requestSpec{instance: i, method: "GET", path: "/read/", id: "f3b"})
		is.Equal(response.StatusCode, http.StatusInternalServerError)
		is.Equal(response.Header.Get(standin.HeaderSignature), "signed")
	})
	t.Run("an endpoint's own error response is forwarded", func(t *testing.T) {
		is := is.New(t)
		both(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set(standin.HeaderSignature, "signed")
			w.WriteHeader(http.StatusInternalServerError)
			return true
		})
		response, _ := f.request(requestSpec{instance: i, method: "POST", path: "/write/", id: "f4"})
		is.Equal(response.StatusCode, http.StatusInternalServerError)
		is.Equal(response.Header.Get(standin.HeaderSignature), "signed")
	})
	t.Run("a response to another request is not forwarded", func(t *testing.T) {
		is := is.New(t)
		both(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set(standin.HeaderSignature, "signed")
			w.Header().Set(standin.HeaderRequest, "another")
			return true
		})
		response, _ := f.request(requestSpec{instance: i, method: "POST", path: "/write/", id: "f5"})
		is.Equal(response.StatusCode, http.StatusBadGateway)
		is.Equal(response.Header.Get(standin.HeaderSignature), "")
	})
	t.Run("a response without a signature is not forwarded as a success", func(t *testing.T) {
		is := is.New(t)
		both(func(w http.ResponseWriter, _ *http.Request) bool {
			_, _ = w.Write([]byte("unsigned"))
			return true
		})
		response, _ := f.request(requestSpec{instance: i, method: "POST", path: "/write/", id: "f6"})
		is.Equal(response.StatusCode, http.StatusBadGateway)
	})
}

func TestMove(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	i, first, response := f.startStream("s1", 300)
	second := f.startEngine("m-2", "model")
	f.eventually("second engine", func() bool { return len(i.roster.List()) == 2 })
	f.log.Put(platform.TopicEndpoints, "m-1", first.Entry("model", "a", "draining"))
	assertEvents(t, response.Body, "s1", 300)
	is.Equal(response.Header.Get(standin.HeaderSignature), "signed-by-m-1")
	is.Equal(f.engines.Ran("s1"), 1)
	is.Equal(len(second.Seen()), 1)
	is.True(second.Seen()[0].Header.Get(standin.HeaderCopy) != "")
	after, _ := f.request(requestSpec{instance: i, method: "POST", path: "/long/", id: "s2", headers: map[string]string{standin.HeaderTokens: "100,2"}})
	is.Equal(after.Header.Get(standin.HeaderSignature), "signed-by-m-2")
}

// An engine crashes without notice. Its run must continue at the engine that holds a backup of its KV memory.
func TestRestore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publishCatalogue(1, "desk")
	engines := map[string]*standin.Engine{"m-1": f.startEngine("m-1", "model"), "m-2": f.startEngine("m-2", "model")}
	i := f.startInstance()
	f.awaitReady(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 2 })
	response := f.send(requestSpec{instance: i, method: "POST", path: "/long/", id: "s1", headers: map[string]string{standin.HeaderTokens: "100,300"}})
	defer func() { _ = response.Body.Close() }()
	first, found := strings.CutPrefix(response.Header.Get(standin.HeaderSignature), "signed-by-")
	is.True(found)
	engines[first].Close()
	assertEvents(t, response.Body, "s1", 300)
	is.Equal(f.engines.Ran("s1"), 1)
}

// An instance whose calls the log refuses, or that starts during an outage of the log, must work with the state of other instances.
func TestLogUnreachable(t *testing.T) {
	f := newFleet(t)
	f.publishCatalogue(1, "desk")
	desk := f.startEngine("d-1", "desk")
	f.startEngine("o-1", "other")
	first, second := f.startInstance(), f.startInstance()
	f.awaitReady(first)
	f.awaitReady(second)
	f.eventually("peers", func() bool { return live(first) == 2 && live(second) == 2 })
	t.Run("catalogue and endpoint list are fetched from a peer", func(t *testing.T) {
		is := is.New(t)
		// The log refuses all calls of the third instance.
		refusing := standin.NewLog()
		refusing.Refuse(http.StatusServiceUnavailable)
		t.Cleanup(refusing.Close)
		third := f.startInstanceWithLog(refusing)
		third.gossiper.addPeers(f.peerAddresses())
		f.awaitReady(third)
		f.publishCatalogue(2, "other")
		f.eventually("version 2", func() bool { return third.catalogueVersion() == 2 })
		response, body := f.request(requestSpec{instance: third, method: "POST", path: "/write/", id: "p1"})
		is.Equal(response.StatusCode, http.StatusOK)
		is.True(strings.HasPrefix(body, "answer of o-1"))
		f.log.Put(platform.TopicEndpoints, "d-1", desk.Entry("desk", "a", "draining"))
		f.eventually("notice", func() bool {
			e, _, found := third.roster.Lookup("desk", desk.Address())
			return found && e.Leaving
		})
	})
	t.Run("an older catalogue version is ignored", func(t *testing.T) {
		is := is.New(t)
		f.publishCatalogue(1, "desk")
		time.Sleep(50 * time.Millisecond)
		is.Equal(first.catalogueVersion(), int64(2))
	})
	t.Run("records that can't be decoded are skipped", func(_ *testing.T) {
		before := len(first.roster.List())
		for n, value := range []string{"", "{", `{"service":1}`, `{"service":"desk","address":"x","state":"ready"}`, `{"service":"desk","address":"1.2.3.4:5","state":"odd"}`} {
			f.log.Put(platform.TopicEndpoints, fmt.Sprint("bad-", n), []byte(value))
		}
		f.startEngine("d-9", "desk")
		f.eventually("endpoint of the valid record", func() bool { return len(first.roster.List()) == before+1 })
	})
	t.Run("a topic whose records have expired is listed again", func(_ *testing.T) {
		f.log.Expire(platform.TopicOperator)
		f.publishCatalogue(3, "desk")
		f.eventually("version 3", func() bool { return first.catalogueVersion() == 3 })
	})
}

// The only engine gets a notice, and another engine is listed only afterwards. The run must be moved to that engine.
func TestMoveToLateEndpoint(t *testing.T) {
	f := newFleet(t)
	i, first, response := f.startStream("s1", 300)
	f.log.Put(platform.TopicEndpoints, "m-1", first.Entry("model", "a", "draining"))
	f.eventually("notice", func() bool { return len(i.roster.GoneOrLeaving()) == 1 })
	second := f.startEngine("m-2", "model")
	assertEvents(t, response.Body, "s1", 300)
	is.New(t).Equal(len(second.Seen()), 1)
}

// The log accepts calls that it never answers and is available again later. The lost calls must not delay new records until they time
// out.
func TestLogNeverAnswers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.publishCatalogue(1, "desk")
	f.startEngine("d-1", "desk")
	instance := f.startInstance()
	f.awaitReady(instance)
	began := time.Now()
	f.log.Silence(true)
	f.publishCatalogue(2, "desk")
	f.eventually("stale endpoint list", func() bool {
		return !instance.listStale(time.Now().Add(-time.Second)) && instance.listStale(time.Now())
	})
	f.log.Silence(false)
	f.eventually("version 2", func() bool { return instance.catalogueVersion() == 2 })
	is.New(t).True(time.Since(began) < logReadWait) // the lost call alone would last longer
}

// Most listed engines have stopped, so that nothing listens at their addresses. Requests must not be refused because of them.
func TestListedEndpointsGone(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publishCatalogue(1, "desk")
	for n := range 8 {
		f.startEngine(fmt.Sprint("m-", n), "model").Close()
	}
	f.startEngine("m-8", "model")
	instance := f.startInstance()
	f.awaitReady(instance)
	f.eventually("endpoints", func() bool { return len(instance.roster.List()) == 9 })
	for n := range 3 {
		response, body := f.request(requestSpec{instance: instance, method: "POST", path: "/long/", id: fmt.Sprint("s", n), headers: map[string]string{standin.HeaderTokens: "100,40"}})
		is.Equal(response.StatusCode, http.StatusOK)
		assertEvents(t, strings.NewReader(body), fmt.Sprint("s", n), 40)
	}
}

func TestDrain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publishCatalogue(1, "desk")
	f.startEngine("m-1", "model")
	i := f.startInstance()
	f.awaitReady(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 1 })
	response := f.send(requestSpec{instance: i, method: "POST", path: "/long/", id: "s1", headers: map[string]string{standin.HeaderTokens: "100,600"}})
	defer func() { _ = response.Body.Close() }()
	done := make(chan struct{})
	go func() {
		i.Drain()
		close(done)
	}()
	f.eventually("unready", func() bool { return !i.Ready() })
	assertEvents(t, response.Body, "s1", 600)
	<-done
	is.Equal(i.front.InFlight(), 0)
}
