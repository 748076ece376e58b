package standin

import (
	"net/http"
	"net/url"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func appendTo(l *Log, body string) result { return call(l, http.MethodPost, "/streams/s", body) }

func readFrom(t *testing.T, l *Log, query string) page {
	t.Helper()
	return decode[page](t, call(l, http.MethodGet, "/streams/s?"+query, ""))
}

func until(d time.Duration) string {
	return "&until=" + url.QueryEscape(in(d).Format(time.RFC3339Nano))
}

func TestLog(t *testing.T) {
	bubble := func(name string, config LogConfig, test func(t *testing.T, is *is.I, l *Log)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, is.New(t), stopped(t, NewLog(config))) })
		})
	}
	bubble("offsets", LogConfig{}, func(t *testing.T, is *is.I, l *Log) {
		is.Equal(decode[struct{ Offset uint64 }](t, appendTo(l, "a")).Offset, uint64(1))
		is.Equal(appendTo(l, "b").Code, http.StatusCreated)
		got := readFrom(t, l, "from=2")
		is.Equal(got.First, uint64(1))
		is.Equal(got.Next, uint64(3))
		is.Equal(string(got.Records[0].Data), "b")
		is.Equal(readFrom(t, l, "from=1&limit=1").Next, uint64(2))
		is.Equal(readFrom(t, l, "from=9").Next, uint64(9))
	})
	bubble("badQuery", LogConfig{}, func(t *testing.T, _ *is.I, l *Log) {
		for _, query := range []string{"from=x", "from=-1", "limit=0", "until=soon"} {
			assertNotRun(t, call(l, http.MethodGet, "/streams/s?"+query, ""), http.StatusBadRequest)
		}
	})
	bubble("rate", LogConfig{Rate: 10, Burst: 2}, func(t *testing.T, is *is.I, l *Log) {
		appendTo(l, "a")
		appendTo(l, "b")
		got := appendTo(l, "c")
		assertNotRun(t, got, http.StatusTooManyRequests)
		is.Equal(got.Header().Get(headerRetry), "1")
		time.Sleep(100 * time.Millisecond)
		is.Equal(appendTo(l, "d").Code, http.StatusCreated)
		is.Equal(len(l.Records("s")), 3)
	})
	bubble("retentionByAge", LogConfig{Retention: time.Minute}, func(t *testing.T, is *is.I, l *Log) {
		appendTo(l, "a")
		time.Sleep(40 * time.Second)
		appendTo(l, "b")
		time.Sleep(40 * time.Second)
		got := readFrom(t, l, "from=1")
		is.Equal(got.First, uint64(2))
		is.Equal(got.Records[0].Offset, uint64(2))
	})
	bubble("retentionByCount", LogConfig{Records: 2}, func(t *testing.T, is *is.I, l *Log) {
		for range 5 {
			appendTo(l, "a")
		}
		got := readFrom(t, l, "from=1")
		is.Equal(got.First, uint64(4))
		is.Equal(got.Next, uint64(6))
	})
	bubble("longPoll", LogConfig{}, func(t *testing.T, is *is.I, l *Log) {
		is.Equal(took(func() { readFrom(t, l, "from=1"+until(time.Minute)) }), time.Minute)
		time.AfterFunc(10*time.Second, func() { appendTo(l, "a") })
		is.Equal(took(func() { is.Equal(len(readFrom(t, l, "from=1"+until(time.Minute)).Records), 1) }), 10*time.Second)
	})
	bubble("dropAnswer", LogConfig{}, func(_ *testing.T, is *is.I, l *Log) {
		is.NoErr(l.Fault(Fault{Kind: FaultDropAnswer, Value: 1}))
		is.True(appendTo(l, "a").cut)
		is.Equal(len(l.Records("s")), 1) // the effect took place
		is.True(!appendTo(l, "b").cut)
	})
	bubble("lose", LogConfig{}, func(_ *testing.T, is *is.I, l *Log) {
		is.NoErr(l.Fault(Fault{Kind: FaultLose, Value: 2}))
		is.True(appendTo(l, "a").cut)
		is.True(appendTo(l, "b").cut)
		is.Equal(len(l.Records("s")), 0) // no effect
		is.True(!appendTo(l, "c").cut)
	})
	bubble("outage", LogConfig{}, func(t *testing.T, is *is.I, l *Log) {
		is.NoErr(l.Fault(Fault{Kind: FaultOutage, Until: in(time.Minute)}))
		assertNotRun(t, appendTo(l, "a"), http.StatusServiceUnavailable)
		time.Sleep(time.Minute)
		is.Equal(decode[struct{ Offset uint64 }](t, appendTo(l, "b")).Offset, uint64(1))
		time.AfterFunc(time.Second, func() { _ = l.Fault(Fault{Kind: FaultOutage}) })
		assertNotRun(t, call(l, http.MethodGet, "/streams/s?from=2"+until(time.Minute), ""), http.StatusServiceUnavailable)
	})
	bubble("pause", LogConfig{}, func(_ *testing.T, is *is.I, l *Log) {
		is.NoErr(l.Fault(Fault{Kind: FaultPause, Until: in(time.Minute)}))
		time.AfterFunc(time.Second, func() { is.Equal(len(l.Records("s")), 0) })
		is.Equal(took(func() { appendTo(l, "a") }), time.Minute)
		is.Equal(len(l.Records("s")), 1)
	})
	bubble("stall", LogConfig{}, func(_ *testing.T, is *is.I, l *Log) {
		is.NoErr(l.Fault(Fault{Kind: FaultStall, Until: in(time.Minute)}))
		seen := make(chan int, 1)
		time.AfterFunc(time.Second, func() { seen <- len(l.Records("s")) })
		is.Equal(took(func() { appendTo(l, "a") }), time.Minute)
		is.Equal(<-seen, 1) // the effect came before the answer
	})
	bubble("lag", LogConfig{}, func(t *testing.T, is *is.I, l *Log) {
		is.NoErr(l.Fault(Fault{Kind: FaultLag, Value: 5}))
		appendTo(l, "a")
		is.Equal(len(readFrom(t, l, "from=1").Records), 0)
		is.Equal(took(func() { is.Equal(len(readFrom(t, l, "from=1"+until(time.Minute)).Records), 1) }), 5*time.Second)
	})
	bubble("slow", LogConfig{Latency: 2 * time.Millisecond}, func(_ *testing.T, is *is.I, l *Log) {
		is.Equal(took(func() { appendTo(l, "a") }), 2*time.Millisecond)
		is.NoErr(l.Fault(Fault{Kind: FaultSlow, Value: 100, Until: in(time.Minute)}))
		is.Equal(took(func() { appendTo(l, "a") }), 200*time.Millisecond)
	})
	bubble("dieKeepsRecords", LogConfig{}, func(_ *testing.T, is *is.I, l *Log) {
		appendTo(l, "a")
		is.NoErr(l.Fault(Fault{Kind: FaultDie, Until: in(time.Minute)}))
		is.True(appendTo(l, "b").cut)
		time.Sleep(time.Minute)
		is.Equal(appendTo(l, "c").Code, http.StatusCreated)
		is.Equal(len(l.Records("s")), 2)
	})
	bubble("clear", LogConfig{}, func(_ *testing.T, is *is.I, l *Log) {
		is.Equal(call(l, http.MethodPost, "/fault", `{"kind":"outage"}`).Code, http.StatusNoContent)
		is.Equal(appendTo(l, "a").Code, http.StatusServiceUnavailable)
		is.Equal(call(l, http.MethodDelete, "/fault", "").Code, http.StatusNoContent)
		is.Equal(appendTo(l, "a").Code, http.StatusCreated)
	})
}
