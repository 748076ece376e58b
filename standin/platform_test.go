package standin

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestRoster(t *testing.T) {
	first := Instance{netip.MustParseAddrPort("10.0.0.1:80"), KindInstance, "lulea-a", InstanceLive}
	const second = `{"address":"10.0.0.2:80","kind":"endpoint","dataCentre":"umea-b","state":"leaving"}`
	list := func(t *testing.T, r *Roster) []Instance {
		t.Helper()
		return decode[struct{ Instances []Instance }](t, call(r, http.MethodGet, "/instances", "")).Instances
	}
	t.Run("lag", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := stopped(t, NewRoster(RosterConfig{Lag: 3 * time.Second, Instances: []Instance{first}}))
			is.Equal(call(r, http.MethodPut, "/instances", second).Code, http.StatusNoContent)
			is.Equal(len(r.Truth()), 2)
			is.Equal(list(t, r), []Instance{first})
			time.Sleep(3 * time.Second)
			is.Equal(len(list(t, r)), 2)
			is.Equal(list(t, r)[1].State, InstanceLeaving)
			is.Equal(call(r, http.MethodDelete, "/instances?address=10.0.0.1:80", "").Code, http.StatusNoContent)
			is.Equal(len(list(t, r)), 2)
			is.NoErr(r.Fault(Fault{Kind: FaultLag, Value: 10}))
			time.Sleep(9 * time.Second)
			is.Equal(len(list(t, r)), 2)
			time.Sleep(time.Second)
			is.Equal(len(list(t, r)), 1)
			is.Equal(r.View(), r.Truth())
		})
	})
	t.Run("badRow", func(t *testing.T) {
		r := stopped(t, NewRoster(RosterConfig{}))
		for _, body := range []string{`{`, `{"address":"host:80"}`, `{"address":"10.0.0.1:80","kind":"pod","state":"live"}`} {
			assertNotRun(t, call(r, http.MethodPut, "/instances", body), http.StatusBadRequest)
		}
		assertNotRun(t, call(r, http.MethodDelete, "/instances?address=x", ""), http.StatusBadRequest)
	})
}

func TestWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := stopped(t, NewWeightStore(WeightStoreConfig{Rate: 1, PullTime: 100 * time.Millisecond}))
		pull := func() result { return call(s, http.MethodPost, "/pulls", `{"model":"ice","version":"2"}`) }
		is.Equal(took(func() { is.Equal(pull().Code, http.StatusOK) }), 100*time.Millisecond)
		assertNotRun(t, pull(), http.StatusTooManyRequests)
		time.Sleep(time.Second)
		is.NoErr(s.Fault(Fault{Kind: FaultSlow, Value: 5}))
		is.Equal(took(func() { pull() }), 505*time.Millisecond)
		is.Equal(s.Pulls(Pull{"ice", "2"}), 2)
		counts := call(s, http.MethodGet, "/pulls", "").Body.String()
		is.Equal(counts, `{"pulls":[{"model":"ice","version":"2","count":2}],"refused":1}`)
		assertNotRun(t, call(s, http.MethodPost, "/pulls", `{}`), http.StatusBadRequest)
	})
}

func TestService(t *testing.T) {
	post := func(s *Service, key, id string) result {
		return call(s, http.MethodPost, "/soundings", "41 cm", headerKey, key, headerRequest, id)
	}
	t.Run("counts", func(t *testing.T) {
		is := is.New(t)
		s := stopped(t, NewService(ServiceConfig{Name: "isportal"}))
		is.Equal(decode[run](t, post(s, "k1", "r1")).KeyRun, 1)
		is.Equal(decode[run](t, call(s, http.MethodGet, "/ice/1", "", headerRequest, "r1")).Run, 2)
		is.Equal(s.Doubles(), 0)
		is.Equal(decode[run](t, post(s, "k1", "r2")).KeyRun, 2)
		post(s, "", "r2")
		is.Equal(s.Doubles(), 2)
		is.Equal(s.RunsOfKey("k1"), 2)
		is.Equal(s.RunsOfRequest("r2"), 2)
		is.Equal(s.Actions(), 3)
		is.Equal(s.Runs(), 4)
	})
	t.Run("effectOfFaults", func(t *testing.T) {
		for _, c := range []struct {
			kind FaultKind
			runs int
		}{{FaultDropAnswer, 1}, {FaultLose, 0}} {
			is := is.New(t)
			s := stopped(t, NewService(ServiceConfig{}))
			is.NoErr(s.Fault(Fault{Kind: c.kind}))
			is.True(post(s, "k", "r").cut)
			is.Equal(s.Runs(), c.runs)
		}
	})
	t.Run("refusesAsNotRun", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := stopped(t, NewService(ServiceConfig{Latency: time.Second, Concurrency: 1}))
			time.AfterFunc(time.Millisecond, func() { assertNotRun(t, post(s, "k2", "r"), http.StatusServiceUnavailable) })
			is.Equal(took(func() { post(s, "k1", "r") }), time.Second)
			is.Equal(s.RunsOfKey("k2"), 0)
		})
	})
}
