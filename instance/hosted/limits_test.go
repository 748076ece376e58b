package hosted

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
)

func TestRateLimitIsObserved(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publishCatalogue(1, "desk")
	engine := f.startEngine("d-1", "desk")
	i := f.startInstance()
	f.awaitReady(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 1 })
	read := func(id string) { f.request(requestSpec{instance: i, method: "GET", path: "/read/", id: id}) }
	limited := func() int { return i.quotas.LimitedEndpoints() }
	read("o1")
	is.Equal(limited(), 0)
	engine.Limit("1000")
	read("o2")
	is.Equal(limited(), 1)
	engine.Limit("")
	sent := 0
	f.eventually("end of the limit noticed", func() bool { // by the first request that gets a permit
		sent++
		read(fmt.Sprint("o3-", sent))
		return limited() == 0
	})
}

// limitWindow is the span in which the requests at an endpoint with a rate limit are counted.
const limitWindow = 4 * time.Second

// mostInWindow returns the largest number of an engine's requests after the given time that lie within one limitWindow.
func mostInWindow(e *standin.Engine, after time.Time) int {
	var arrivals []time.Time
	for _, s := range e.Seen() {
		if s.At.After(after) {
			arrivals = append(arrivals, s.At)
		}
	}
	most, first := 0, 0
	for n, at := range arrivals {
		for at.Sub(arrivals[first]) > limitWindow {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// allowedInWindow returns the requests that an endpoint with a rate limit may receive in one limitWindow.
func allowedInWindow(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// limitedFleet is a fleet of three instances before two plain endpoints.
type limitedFleet struct {
	*fleet
	one, other *standin.Engine
	sent       int
}

func newLimitedFleet(t *testing.T) *limitedFleet {
	f := &limitedFleet{fleet: newFleet(t)}
	f.publishCatalogue(1, "desk")
	f.one, f.other = f.startEngine("d-1", "desk"), f.startEngine("d-2", "desk")
	for range 3 {
		f.awaitReady(f.startInstance())
	}
	for _, i := range f.instances {
		f.eventually("both endpoints", func() bool { return len(i.roster.List()) == 2 })
	}
	return f
}

// read sends a request to one of the instances in turn and returns the response.
func (f *limitedFleet) read() *http.Response {
	f.sent++
	response, _ := f.request(requestSpec{instance: f.instances[f.sent%len(f.instances)], method: "GET", path: "/read/", id: fmt.Sprint("l", f.sent)})
	return response
}

// awaitLimits sends requests until each instance knows the limits of so many endpoints.
func (f *limitedFleet) awaitLimits(count int) {
	f.eventually("limits known", func() bool {
		f.read()
		for _, i := range f.instances {
			if i.quotas.LimitedEndpoints() != count {
				return false
			}
		}
		return true
	})
}

func TestEndpointReceivesMoreThanItsRateLimit(t *testing.T) {
	t.Run("requests go elsewhere while another endpoint takes them", func(t *testing.T) {
		is := is.New(t)
		f := newLimitedFleet(t)
		f.one.Limit("1")
		f.awaitLimits(1)
		told := time.Now()
		for range 120 {
			is.Equal(f.read().StatusCode, http.StatusOK)
		}
		t.Logf("%d requests in %s, %d allowed", mostInWindow(f.one, told), limitWindow, allowedInWindow(1))
		is.True(mostInWindow(f.one, told) <= allowedInWindow(1))
		is.True(len(f.other.Seen()) > 0)
	})
	t.Run("the limit is used, and refusals say when to come back", func(t *testing.T) {
		is := is.New(t)
		f := newLimitedFleet(t)
		f.one.Limit("20")
		f.other.Limit("20")
		f.awaitLimits(2)
		told := time.Now()
		served, refused := 0, 0
		f.eventually("requests served", func() bool {
			response := f.read()
			switch response.StatusCode {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
				refused++
				is.True(response.Header.Get("Retry-After") != "")
			default:
				t.Fatalf("status %d", response.StatusCode)
			}
			return served >= 60
		})
		t.Logf("%d refused", refused)
		is.True(mostInWindow(f.one, told) <= allowedInWindow(20))
		is.True(mostInWindow(f.other, told) <= allowedInWindow(20))
	})
	t.Run("an instance that starts is told by the others", func(t *testing.T) {
		is := is.New(t)
		f := newLimitedFleet(t)
		f.one.Limit("1")
		f.awaitLimits(1)
		granted := func() bool {
			f.read()
			return slices.ContainsFunc(f.instances, func(i *Instance) bool { return len(i.quotas.Granted(time.Now())) == 1 })
		}
		f.eventually("a steward", granted)
		i := f.startInstance()
		f.eventually("limit known", func() bool { return i.quotas.LimitedEndpoints() == 1 })
		is.Equal(i.front.InFlight(), 0)
	})
	t.Run("the end of a limit reaches all instances", func(t *testing.T) {
		f := newLimitedFleet(t)
		f.one.Limit("1")
		f.awaitLimits(1)
		f.one.Limit("")
		f.awaitLimits(0)
	})
}

func TestRunContinuesAtEndpointWithRateLimit(t *testing.T) {
	for name, lose := range map[string]func(f *fleet, id string, e *standin.Engine){
		"from its backup": func(_ *fleet, _ string, e *standin.Engine) { e.Close() },
		"after its endpoint's notice": func(f *fleet, id string, e *standin.Engine) {
			f.log.Put(platform.TopicEndpoints, id, e.Entry("model", "a", "draining"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			f.publishCatalogue(1, "desk")
			engines := map[string]*standin.Engine{"m-1": f.startEngine("m-1", "model"), "m-2": f.startEngine("m-2", "model")}
			for _, e := range engines {
				e.Limit("2")
			}
			i := f.startInstance()
			f.awaitReady(i)
			f.eventually("endpoints", func() bool { return len(i.roster.List()) == 2 })
			sent := 0
			start := func(events int) *http.Response {
				sent++
				return f.send(requestSpec{instance: i, method: "POST", path: "/long/", id: fmt.Sprint("s", sent), headers: map[string]string{standin.HeaderTokens: fmt.Sprint("100,", events)}})
			}
			f.eventually("limits known", func() bool {
				response := start(1)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				return i.quotas.LimitedEndpoints() == 2
			})
			var response *http.Response
			f.eventually("admitted", func() bool {
				response = start(300)
				if response.StatusCode != http.StatusOK {
					_ = response.Body.Close()
				}
				return response.StatusCode == http.StatusOK
			})
			defer func() { _ = response.Body.Close() }()
			first, found := strings.CutPrefix(response.Header.Get(standin.HeaderSignature), "signed-by-")
			is.True(found)
			lose(f, first, engines[first])
			assertEvents(t, response.Body, fmt.Sprint("s", sent), 300)
			is.Equal(f.engines.Ran(fmt.Sprint("s", sent)), 1)
		})
	}
}
