package hosted

import (
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
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
