package explanation

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logs = `noise
  1.25 node {"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"dispatched","instance":"a","id":"r1","endpoint":"e1","sent":1}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"endpoint changed","instance":"a","endpoint":"e1","leaving":true}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"endpoint changed","instance":"a","endpoint":"e2","leaving":true}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"endpoint changed","instance":"b","endpoint":"e1","leaving":true}
{"time":"2026-01-01T00:00:03Z","level":"WARN","msg":"log lost","instance":"a","topic":"x"}
{"time":"2026-01-01T00:00:04Z","level":"INFO","msg":"ended","instance":"a","id":"r1","endpoint":"e1","outcome":"interrupted","reason":"broken","sent":1,"moved":0,"events":7,"error":"unexpected EOF"}
{"time":"2026-01-01T00:00:00Z","level":"INFO","msg":"dispatched","instance":"a","id":"r2","endpoint":"e2"}
{"time":"2026-01-01T00:00:09Z","level":"WARN","msg":"log lost","instance":"a","topic":"y"}
{"time":"2026-01-01T00:00:05Z","level":"INFO","msg":"declined","instance":"b","id":"r3","status":404,"reason":"no such route"}
{"time":"2026-01-01T00:00:20Z","level":"INFO","msg":"ended","instance":"c","id":"r4","endpoint":"e1","outcome":"interrupted","reason":"closing","sent":1,"moved":0,"events":7,"phase":"streaming","lastEventMs":12,"unsentBytes":35,"error":"instance closes"}
{"time":"2026-01-01T00:00:20Z","level":"INFO","msg":"ended","instance":"c","id":"r5","endpoint":"","outcome":"notRun","reason":"closing","sent":0,"phase":"waiting","lastEventMs":-1,"unsentBytes":0,"error":"instance closes"}
{"time":"2026-01-01T00:00:20Z","level":"INFO","msg":"ended","instance":"c","id":"r6","endpoint":"e1","outcome":"served","reason":"","sent":1,"moved":0,"events":7,"phase":"delivered","lastEventMs":0,"unsentBytes":0}
`

func TestTimeline(t *testing.T) {
	is := is.New(t)
	l := &Log{}
	is.NoErr(l.Read(strings.NewReader(logs)))
	is.Equal(l.Skipped, 1)
	timeline := l.Timeline("r1")
	var messages []string
	for _, line := range timeline {
		messages = append(messages, line.Message)
	}
	is.Equal(messages, []string{"dispatched", "endpoint changed", "log lost", "ended"})
	is.Equal(Cause(timeline), "a: interrupted (broken) at endpoint e1 after 1 dispatches, 0 moves, 7 events: unexpected EOF")
	is.Equal(Cause(l.Timeline("r3")), "b answered 404: no such route")
	is.Equal(Cause(l.Timeline("r4")), "c: interrupted (closing) at endpoint e1 after 1 dispatches, 0 moves, 7 events: instance closes; streaming, last event 12 ms before, 35 bytes unsent")
	is.Equal(Cause(l.Timeline("r5")), "c: notRun (closing): instance closes; waiting")
	is.Equal(Cause(l.Timeline("r6")), "c: served at endpoint e1 after 1 dispatches, 0 moves, 7 events")
	is.Equal(len(l.Timeline("unknown")), 0)
	out := &strings.Builder{}
	is.NoErr(Write(out, timeline))
	is.True(strings.Contains(out.String(), "1.000 s  a  endpoint changed endpoint=e1 leaving=true"))
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(logs))
	f.Fuzz(func(_ *testing.T, data []byte) {
		l := &Log{}
		if err := l.Read(strings.NewReader(string(data))); err != nil {
			return
		}
		Cause(l.Timeline("r1"))
	})
}
