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
	f.catalogue(1, "desk")
	model, desk := f.engine("m-1", "model"), f.engine("d-1", "desk")
	i := f.start()
	f.ready(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 2 })
	t.Run("passes a request on unchanged but for what the system sets", func(t *testing.T) {
		is := is.New(t)
		response, body := f.do(call{at: i, method: "POST", path: "/write/x%2Fy?a=b;c", id: "w1", body: "text", headers: map[string]string{
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
	t.Run("refuses what the catalogue does not allow", func(t *testing.T) {
		is := is.New(t)
		for _, c := range []struct {
			call   call
			status int
		}{
			{call{at: i, method: "GET", path: "/none/", id: "n1"}, http.StatusNotFound},
			{call{at: i, method: "GET", path: "/read/", id: "n2", key: "unknown"}, http.StatusUnauthorized},
			{call{at: i, method: "POST", path: "/write/", id: "n3", body: strings.Repeat("x", 5000)}, http.StatusRequestEntityTooLarge},
		} {
			response, _ := f.do(c.call)
			is.Equal(response.StatusCode, c.status)
		}
		is.Equal(len(desk.Seen()), 1)
	})
	t.Run("streams each event once, in order", func(t *testing.T) {
		is := is.New(t)
		response := f.open(call{at: i, method: "POST", path: "/long/", id: "s1", headers: map[string]string{standin.HeaderTokens: "100,20"}})
		defer func() { _ = response.Body.Close() }()
		is.Equal(response.Header.Get(standin.HeaderSignature), "signed-by-m-1")
		assertEvents(t, response.Body, "s1", 20)
		is.Equal(model.Seen()[0].Header.Get(standin.HeaderTokens), "100,20")
	})
	t.Run("a stream that its caller has whole keeps its head", func(t *testing.T) {
		is := is.New(t)
		response, body := f.do(call{at: i, method: "POST", path: "/short/", id: "s2", headers: map[string]string{standin.HeaderTokens: "100,4", standin.HeaderLastEvent: "4"}})
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(response.Header.Get(standin.HeaderSignature), "signed-by-m-1")
		is.Equal(body, "")
	})
}

func TestFailures(t *testing.T) {
	f := newFleet(t)
	f.catalogue(1, "desk")
	one, two := f.engine("d-1", "desk"), f.engine("d-2", "desk")
	i := f.start()
	f.ready(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 2 })
	both := func(fault func(w http.ResponseWriter, r *http.Request) bool) {
		one.Fail(fault)
		two.Fail(fault)
	}
	t.Run("refused by all: not run, and when to come back", func(t *testing.T) {
		is := is.New(t)
		both(standin.Refused)
		response, _ := f.do(call{at: i, method: "POST", path: "/write/", id: "f1"})
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.True(response.Header.Get("Retry-After") != "")
		is.Equal(f.engines.Ran("f1"), 0)
	})
	t.Run("an action whose answer is lost runs once and has no promise", func(t *testing.T) {
		is := is.New(t)
		both(one.Lost)
		response, _ := f.do(call{at: i, method: "POST", path: "/write/", id: "f2"})
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
		response, _ := f.do(call{at: i, method: "GET", path: "/read/", id: "f3"})
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(f.engines.Ran("f3"), 2)
	})
	t.Run("an endpoint's own failure is passed on", func(t *testing.T) {
		is := is.New(t)
		both(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set(standin.HeaderSignature, "signed")
			w.WriteHeader(http.StatusInternalServerError)
			return true
		})
		response, _ := f.do(call{at: i, method: "POST", path: "/write/", id: "f4"})
		is.Equal(response.StatusCode, http.StatusInternalServerError)
		is.Equal(response.Header.Get(standin.HeaderSignature), "signed")
	})
	t.Run("an answer of another request is not passed on", func(t *testing.T) {
		is := is.New(t)
		both(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set(standin.HeaderSignature, "signed")
			w.Header().Set(standin.HeaderRequest, "another")
			return true
		})
		response, _ := f.do(call{at: i, method: "POST", path: "/write/", id: "f5"})
		is.Equal(response.StatusCode, http.StatusBadGateway)
		is.Equal(response.Header.Get(standin.HeaderSignature), "")
	})
	t.Run("an answer without signature is not passed on as a success", func(t *testing.T) {
		is := is.New(t)
		both(func(w http.ResponseWriter, _ *http.Request) bool {
			_, _ = w.Write([]byte("unsigned"))
			return true
		})
		response, _ := f.do(call{at: i, method: "POST", path: "/write/", id: "f6"})
		is.Equal(response.StatusCode, http.StatusBadGateway)
	})
}

func TestMove(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	i, first, response := f.streaming("s1", 300)
	second := f.engine("m-2", "model")
	f.eventually("second engine", func() bool { return len(i.roster.List()) == 2 })
	f.log.Put(platform.TopicEndpoints, "m-1", first.Entry("model", "a", "draining"))
	assertEvents(t, response.Body, "s1", 300)
	is.Equal(response.Header.Get(standin.HeaderSignature), "signed-by-m-1")
	is.Equal(f.engines.Ran("s1"), 1)
	is.Equal(len(second.Seen()), 1)
	is.True(second.Seen()[0].Header.Get(standin.HeaderCopy) != "")
	after, _ := f.do(call{at: i, method: "POST", path: "/long/", id: "s2", headers: map[string]string{standin.HeaderTokens: "100,2"}})
	is.Equal(after.Header.Get(standin.HeaderSignature), "signed-by-m-2")
}

// An engine dies without notice: its run goes on at the engine that has a copy of its memory.
func TestRestore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.catalogue(1, "desk")
	engines := map[string]*standin.Engine{"m-1": f.engine("m-1", "model"), "m-2": f.engine("m-2", "model")}
	i := f.start()
	f.ready(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 2 })
	response := f.open(call{at: i, method: "POST", path: "/long/", id: "s1", headers: map[string]string{standin.HeaderTokens: "100,300"}})
	defer func() { _ = response.Body.Close() }()
	first, found := strings.CutPrefix(response.Header.Get(standin.HeaderSignature), "signed-by-")
	is.True(found)
	engines[first].Close()
	assertEvents(t, response.Body, "s1", 300)
	is.Equal(f.engines.Ran("s1"), 1)
}

// A machine that the log turns away, or that starts while the log is away, works by what other instances know.
func TestLogAway(t *testing.T) {
	f := newFleet(t)
	f.catalogue(1, "desk")
	desk := f.engine("d-1", "desk")
	f.engine("o-1", "other")
	one, two := f.start(), f.start()
	f.ready(one)
	f.ready(two)
	f.eventually("peers", func() bool { return one.exchange.live() == 2 && two.exchange.live() == 2 })
	t.Run("catalogue comes from a peer", func(t *testing.T) {
		is := is.New(t)
		// The second instance's calls to the log go nowhere from now on.
		away := standin.NewLog()
		away.Refuse(http.StatusServiceUnavailable)
		t.Cleanup(away.Close)
		three := f.startAt(away)
		three.exchange.name(f.peers())
		f.ready(three)
		f.catalogue(2, "other")
		f.eventually("version 2", func() bool { return three.version() == 2 })
		response, body := f.do(call{at: three, method: "POST", path: "/write/", id: "p1"})
		is.Equal(response.StatusCode, http.StatusOK)
		is.True(strings.HasPrefix(body, "answer of o-1"))
		f.log.Put(platform.TopicEndpoints, "d-1", desk.Entry("desk", "a", "draining"))
		f.eventually("notice", func() bool {
			e, _, found := three.roster.Lookup("desk", desk.Address())
			return found && e.Leaving
		})
	})
	t.Run("a version never goes back", func(t *testing.T) {
		is := is.New(t)
		f.catalogue(1, "desk")
		time.Sleep(50 * time.Millisecond)
		is.Equal(one.version(), int64(2))
	})
	t.Run("records that can't be read name no endpoint", func(_ *testing.T) {
		before := len(one.roster.List())
		for n, value := range []string{"", "{", `{"service":1}`, `{"service":"desk","address":"x","state":"ready"}`, `{"service":"desk","address":"1.2.3.4:5","state":"odd"}`} {
			f.log.Put(platform.TopicEndpoints, fmt.Sprint("bad-", n), []byte(value))
		}
		f.engine("d-9", "desk")
		f.eventually("the good one", func() bool { return len(one.roster.List()) == before+1 })
	})
	t.Run("a log that forgot its history is listed anew", func(_ *testing.T) {
		f.log.Expire(platform.TopicOperator)
		f.catalogue(3, "desk")
		f.eventually("version 3", func() bool { return one.version() == 3 })
	})
}

// The only engine is reclaimed, and the next one is listed a little later.
func TestMoveLate(t *testing.T) {
	f := newFleet(t)
	i, first, response := f.streaming("s1", 300)
	f.log.Put(platform.TopicEndpoints, "m-1", first.Entry("model", "a", "draining"))
	f.eventually("notice", func() bool { return len(i.roster.GoneOrLeaving()) == 1 })
	second := f.engine("m-2", "model")
	assertEvents(t, response.Body, "s1", 300)
	is.New(t).Equal(len(second.Seen()), 1)
}

// The log takes calls that it never answers, and serves again later.
func TestLogSilent(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.catalogue(1, "desk")
	f.engine("d-1", "desk")
	one := f.start()
	f.ready(one)
	began := time.Now()
	f.log.Silence(true)
	f.catalogue(2, "desk")
	f.eventually("calls that are lost", func() bool { return !one.silent(time.Now().Add(-time.Second)) && one.silent(time.Now()) })
	f.log.Silence(false)
	f.eventually("version 2", func() bool { return one.version() == 2 })
	is.New(t).True(time.Since(began) < logWait) // the lost call itself lasts longer
}

// Engines are gone at whose addresses nothing listens, and the list still names them. They are no reason to refuse.
func TestAbsent(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.catalogue(1, "desk")
	for n := range 8 {
		f.engine(fmt.Sprint("m-", n), "model").Close()
	}
	f.engine("m-8", "model")
	one := f.start()
	f.ready(one)
	f.eventually("endpoints", func() bool { return len(one.roster.List()) == 9 })
	for n := range 3 {
		response, body := f.do(call{at: one, method: "POST", path: "/long/", id: fmt.Sprint("s", n), headers: map[string]string{standin.HeaderTokens: "100,40"}})
		is.Equal(response.StatusCode, http.StatusOK)
		assertEvents(t, strings.NewReader(body), fmt.Sprint("s", n), 40)
	}
}

func TestDrain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.catalogue(1, "desk")
	f.engine("m-1", "model")
	i := f.start()
	f.ready(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 1 })
	response := f.open(call{at: i, method: "POST", path: "/long/", id: "s1", headers: map[string]string{standin.HeaderTokens: "100,600"}})
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
