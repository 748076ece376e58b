package standin

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

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
