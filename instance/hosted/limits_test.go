package hosted

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

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
	limited := func() float64 { return testutil.ToFloat64(i.observer.metrics.limitedEndpoints) }
	read("o1")
	is.Equal(limited(), 0.0)
	engine.Limit("1000")
	read("o2")
	is.Equal(limited(), 1.0)
	engine.Limit("")
	read("o3")
	is.Equal(limited(), 0.0)
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

func TestEndpointReceivesMoreThanItsRateLimit(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.publishCatalogue(1, "desk")
	limited, other := f.startEngine("d-1", "desk"), f.startEngine("d-2", "desk")
	limited.Limit("1")
	for range 3 {
		f.awaitReady(f.startInstance())
	}
	sent := 0
	read := func(i *Instance) int {
		sent++
		response, _ := f.request(requestSpec{instance: i, method: "GET", path: "/read/", id: fmt.Sprint("l", sent)})
		return response.StatusCode
	}
	for _, i := range f.instances {
		f.eventually("both endpoints", func() bool { return len(i.roster.List()) == 2 })
		f.eventually("limit known", func() bool {
			read(i)
			return testutil.ToFloat64(i.observer.metrics.limitedEndpoints) == 1
		})
	}
	told := time.Now()
	for n := range 120 {
		is.Equal(read(f.instances[n%len(f.instances)]), http.StatusOK)
	}
	t.Logf("%d requests in %s, %d allowed", mostInWindow(limited, told), limitWindow, allowedInWindow(1))
	is.True(mostInWindow(limited, told) <= allowedInWindow(1))
	is.True(len(other.Seen()) > 0)
}
