package standin

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

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
