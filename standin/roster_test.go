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
