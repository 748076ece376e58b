package hosted

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

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
		f.engines.CrashOn("b1", func(*standin.Engine) {})
		response := f.send(requestSpec{instance: i, method: "POST", path: "/long/", id: "c2", headers: map[string]string{standin.HeaderTokens: "100,4", standin.HeaderParts: "a1:10,b1:20,c2:30"}})
		defer func() { _ = response.Body.Close() }()
		is.Equal(response.StatusCode, http.StatusBadGateway)
		is.Equal(testutil.ToFloat64(i.observer.metrics.crashes), 1.0)
		is.Equal(f.engines.Crashes(), 1)
	})
}
