package hosted

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
)

// statementFleet is a fleet before plain endpoints that say something of themselves in their answers.
type statementFleet struct {
	*fleet
	endpoints []*standin.Engine
	sent      int
}

func newStatementFleet(t *testing.T, instances, endpoints int) *statementFleet {
	f := &statementFleet{fleet: newFleet(t)}
	f.publishCatalogue(1, "desk")
	for n := range endpoints {
		f.endpoints = append(f.endpoints, f.startEngine(fmt.Sprint("d-", n+1), "desk"))
	}
	f.startListing(instances)
	return f
}

// startListing starts instances and waits until each knows the endpoints and the other instances.
func (f *statementFleet) startListing(instances int) {
	for range instances {
		f.awaitReady(f.startInstance())
	}
	for _, i := range f.instances {
		f.eventually("endpoints", func() bool { return len(i.roster.List()) == len(f.endpoints) && live(i) == len(f.instances) })
	}
}

// read sends a repeatable request to an instance and returns the response.
func (f *statementFleet) read(i *Instance) *http.Response {
	f.sent++
	response, _ := f.request(requestSpec{instance: i, method: "GET", path: "/read/", id: fmt.Sprint("q", f.sent)})
	return response
}

// readWithin sends a repeatable request of a caller that waits for so long, and returns the response.
func (f *statementFleet) readWithin(i *Instance, patience time.Duration) *http.Response {
	f.sent++
	headers := map[string]string{standin.HeaderDeadline: strconv.FormatInt(patience.Milliseconds(), 10)}
	response, _ := f.request(requestSpec{instance: i, method: "GET", path: "/read/", id: fmt.Sprint("q", f.sent), headers: headers})
	return response
}

// readUntil sends requests until the time, a few at a time, and returns how many were not served.
func (f *statementFleet) readUntil(i *Instance, end time.Time) int {
	failed := 0
	for time.Now().Before(end) {
		if f.read(i).StatusCode != http.StatusOK {
			failed++
		}
		time.Sleep(2 * time.Millisecond)
	}
	return failed
}

// arrivedIn returns how many requests reached an endpoint between two times.
func arrivedIn(e *standin.Engine, from, to time.Time) int {
	count := 0
	for _, s := range e.Seen() {
		if s.At.After(from) && s.At.Before(to) {
			count++
		}
	}
	return count
}

// rested returns when the first request reached an endpoint.
func rested(e *standin.Engine) time.Time { return e.Seen()[0].At }

func TestEndpointIsSentRequestsWhileItRests(t *testing.T) {
	const rest = 2 * time.Second
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		t.Run("the only endpoint refuses with "+strconv.Itoa(status), func(t *testing.T) {
			is := is.New(t)
			f := newStatementFleet(t, 1, 1)
			one := f.endpoints[0]
			is.Equal(f.read(f.instances[0]).StatusCode, http.StatusOK) // an instance that has just started is slow once
			one.Fail(standin.Resting(status, "2"))
			f.readWithin(f.instances[0], time.Second)
			begin := one.Seen()[1].At
			refused := f.readWithin(f.instances[0], time.Second)
			is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
			after, err := strconv.ParseFloat(refused.Header.Get(standin.HeaderRetry), 64)
			is.NoErr(err)
			is.True(time.Now().Add(time.Duration(after * float64(time.Second))).After(begin.Add(rest))) // not asked to come back too early
			one.Fail(nil)
			is.Equal(f.read(f.instances[0]).StatusCode, http.StatusOK) // waits for the end of the rest
			is.Equal(arrivedIn(one, begin, begin.Add(rest)), 0)
		})
	}
	t.Run("others serve in the meantime", func(t *testing.T) {
		is := is.New(t)
		f := newStatementFleet(t, 1, 2)
		one := f.endpoints[0]
		one.Fail(standin.Resting(http.StatusServiceUnavailable, "2"))
		f.eventually("told", func() bool { f.read(f.instances[0]); return len(one.Seen()) > 0 })
		begin := rested(one)
		is.Equal(f.readUntil(f.instances[0], begin.Add(rest-300*time.Millisecond)), 0)
		is.Equal(arrivedIn(one, begin, begin.Add(rest)), 0)
	})
	t.Run("an answer that is no refusal asks for rest as well", func(t *testing.T) {
		is := is.New(t)
		f := newStatementFleet(t, 1, 2)
		one := f.endpoints[0]
		one.Fail(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set(standin.HeaderRetry, "1.5")
			return false
		})
		f.eventually("told", func() bool { f.read(f.instances[0]); return len(one.Seen()) > 0 })
		begin := rested(one)
		is.Equal(f.readUntil(f.instances[0], begin.Add(1200*time.Millisecond)), 0)
		is.Equal(arrivedIn(one, begin, begin.Add(1500*time.Millisecond)), 0)
	})
	t.Run("the other instances are told of an endpoint that is not available", func(t *testing.T) {
		is := is.New(t)
		f := newStatementFleet(t, 2, 2)
		one := f.endpoints[0]
		one.Fail(standin.Resting(http.StatusServiceUnavailable, "3"))
		f.eventually("told", func() bool { f.read(f.instances[0]); return len(one.Seen()) > 0 })
		begin := rested(one)
		f.eventually("the other told", func() bool { return f.instances[1].standings.Resting() == 1 })
		is.Equal(f.readUntil(f.instances[1], begin.Add(2500*time.Millisecond)), 0)
		is.Equal(arrivedIn(one, begin, begin.Add(3*time.Second)), 0)
	})
}

func TestEndpointIsSentRequestsAfterItSaidThatItLeaves(t *testing.T) {
	t.Run("others serve", func(t *testing.T) {
		is := is.New(t)
		f := newStatementFleet(t, 1, 4)
		one := f.endpoints[0]
		one.Leave(true)
		f.eventually("told", func() bool { f.read(f.instances[0]); return len(one.Seen()) > 0 })
		latest := rested(one).Add(f.settings[0].Drain)
		is.Equal(f.readUntil(f.instances[0], latest.Add(time.Second)), 0)
		is.Equal(arrivedIn(one, latest, time.Now()), 0)
	})
	t.Run("requests are refused at once when all have said so", func(t *testing.T) {
		is := is.New(t)
		f := newStatementFleet(t, 1, 2)
		for _, e := range f.endpoints {
			e.Leave(true)
		}
		var response *http.Response
		f.eventually("refused", func() bool {
			response = f.read(f.instances[0])
			return response.StatusCode == http.StatusServiceUnavailable
		})
		is.True(response.Header.Get(standin.HeaderRetry) != "")
		f.readUntil(f.instances[0], time.Now().Add(f.settings[0].Drain+500*time.Millisecond))
		for _, e := range f.endpoints {
			is.Equal(arrivedIn(e, rested(e).Add(f.settings[0].Drain), time.Now()), 0)
			e.Leave(false)
		}
		f.eventually("served again", func() bool { return f.read(f.instances[0]).StatusCode == http.StatusOK })
	})
	t.Run("the only endpoint closes each connection and does not leave", func(t *testing.T) {
		is := is.New(t)
		f := newStatementFleet(t, 0, 1)
		f.drain = time.Minute // the endpoint's answer ends each doubt, not the time
		f.startListing(1)
		f.endpoints[0].Fail(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Connection", "close")
			return false
		})
		is.Equal(f.readUntil(f.instances[0], time.Now().Add(time.Second)), 0)
		is.True(f.endpoints[0].Asked() > 0)
	})
	t.Run("long runs are moved off before it ends", func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		i, one, response := f.startStream("l1", 600)
		one.Leave(true)
		f.request(requestSpec{instance: i, method: "POST", path: "/short/", id: "l2", headers: map[string]string{standin.HeaderTokens: "100,1"}})
		other := f.startEngine("m-2", "model")
		f.eventually("moved", func() bool {
			for _, s := range other.Seen() {
				if s.Header.Get(standin.HeaderRequest) == "l1" {
					return true
				}
			}
			return false
		})
		assertEvents(t, response.Body, "l1", 600)
		_, err := io.Copy(io.Discard, response.Body)
		is.NoErr(err)
	})
}

// A run whose last copy failed can go on at its former endpoint only, which takes no more requests once its drain time is over.
func TestRunReturnsToEndpointAfterItsDrainTime(t *testing.T) {
	for name, c := range map[string]struct {
		lost    time.Duration
		returns bool
	}{
		"while it is left":  {100 * time.Millisecond, true},
		"after it has gone": {2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			_, one, response := f.startStream("m1", 1000)
			f.startEngine("m-2", "model")
			f.eventually("both engines", func() bool { return len(f.instances[0].roster.List()) == 2 })
			one.LoseMove(c.lost)
			f.log.Put(platform.TopicEndpoints, "m-1", one.Entry("model", "a", "draining"))
			noticed := time.Now()
			body, err := io.ReadAll(response.Body)
			returned := 0
			for _, s := range one.Seen() {
				if s.Header.Get(standin.HeaderCopy) != "" {
					returned++
					is.True(s.At.Before(noticed.Add(f.settings[0].Drain)))
				}
			}
			is.Equal(returned > 0, c.returns)
			is.Equal(err == nil && strings.Contains(string(body), "m1-1000"), c.returns)
		})
	}
}
