package instance

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"

	"dogwooddyke/standin"
)

// sounding is what a caller got for one logged measurement.
type sounding struct {
	status  int
	outcome string
	body    string
}

// logSounding posts a measurement under the key, or without one.
func (f *fleet) logSounding(instance int, key, body string) sounding {
	is := is.New(f.t)
	request := f.request(instance, http.MethodPost, "/call/soundings/log", body)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	if response.StatusCode != http.StatusOK {
		f.t.Logf("instance %d, key %s: %s %s", instance, key, response.Status, data)
	}
	return sounding{status: response.StatusCode, outcome: response.Header.Get("Outcome"), body: string(data)}
}

func TestCall(t *testing.T) {
	f := newFleet(t, 1, 2, 3)
	runs := func(key string) int { return f.services[0].RunsOfKey(key) + f.services[1].RunsOfKey(key) }
	t.Run("keyAtAllInstancesAtOnce", func(t *testing.T) {
		is := is.New(t)
		key := uuid.Must(uuid.NewV7()).String()
		callers := pool.NewWithResults[sounding]()
		for n := range 9 {
			callers.Go(func() sounding { return f.logSounding(n%3, key, "12 cm") })
		}
		replies := callers.Wait()
		for _, r := range replies {
			is.Equal(r.status, http.StatusOK)
			is.Equal(r.body, replies[0].body)
		}
		is.Equal(runs(key), 1)
	})
	t.Run("keyWithAnotherBody", func(t *testing.T) {
		is := is.New(t)
		key := uuid.Must(uuid.NewV7()).String()
		is.Equal(f.logSounding(0, key, "12 cm").status, http.StatusOK)
		reused := f.logSounding(1, key, "13 cm")
		is.Equal(reused.status, http.StatusUnprocessableEntity)
		is.Equal(reused.outcome, "notRun")
		is.Equal(runs(key), 1)
	})
	t.Run("lostResult", func(t *testing.T) {
		is := is.New(t)
		key := uuid.Must(uuid.NewV7()).String()
		for _, s := range f.services {
			is.NoErr(s.Fault(standin.Fault{Kind: standin.FaultDropAnswer, Value: 1, Until: time.Now().Add(time.Minute)}))
		}
		is.Equal(f.logSounding(0, key, "12 cm").outcome, "unknown")
		for _, s := range f.services {
			s.ClearFaults()
		}
		is.Equal(f.logSounding(1, key, "12 cm").outcome, "unknown")
		is.Equal(runs(key), 1)
	})
	t.Run("serviceRefuses", func(t *testing.T) {
		is := is.New(t)
		for _, s := range f.services {
			is.NoErr(s.Fault(standin.Fault{Kind: standin.FaultOutage, Until: time.Now().Add(time.Minute)}))
		}
		key := uuid.Must(uuid.NewV7()).String()
		is.Equal(f.logSounding(0, key, "12 cm").outcome, "notRun")
		for _, s := range f.services {
			s.ClearFaults()
		}
		f.await("a run after the abandoned claim", func() bool { return f.logSounding(2, key, "12 cm").status == http.StatusOK })
		is.Equal(runs(key), 1)
	})
	t.Run("logOut", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(f.log.Fault(standin.Fault{Kind: standin.FaultOutage, Until: time.Now().Add(time.Minute)}))
		key := uuid.Must(uuid.NewV7()).String()
		request := f.request(0, http.MethodPost, "/call/soundings/log", "12 cm")
		request.Header.Set("Idempotency-Key", key)
		refused := f.do(request, is)
		is.Equal(refused.Header.Get("Outcome"), "notRun")
		f.log.ClearFaults()
		is.Equal(runs(key), 0)
	})
	t.Run("lookup", func(t *testing.T) {
		is := is.New(t)
		found := f.do(f.request(0, http.MethodGet, "/call/soundings/lakes/a%20b?depth=2", ""), is)
		is.Equal(found.StatusCode, http.StatusOK)
	})
	t.Run("noSuchService", func(t *testing.T) {
		is := is.New(t)
		is.Equal(f.do(f.request(0, http.MethodGet, "/call/nothing/", ""), is).StatusCode, http.StatusNotFound)
		is.Equal(f.do(f.request(0, http.MethodGet, "/call/isoraklet/", ""), is).StatusCode, http.StatusNotFound)
	})
	t.Run("tooLarge", func(t *testing.T) {
		is := is.New(t)
		large := f.logSounding(0, "", strings.Repeat("x", defaultMaximumBodyBytes+1))
		is.Equal(large.status, http.StatusRequestEntityTooLarge)
		is.Equal(large.outcome, "notRun")
	})
}
