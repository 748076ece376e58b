package hosted

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/internal/lines"
	"dogwooddyke/protocol/relay"
	"dogwooddyke/state/route"
)

// BenchmarkObserver measures the cost of the log lines and counters of one served generation.
func BenchmarkObserver(b *testing.B) {
	output := lines.New(io.Discard)
	defer func() { _ = output.Close(context.Background()) }() // the discarding writer does not stall
	o := newObserver(slog.New(slog.NewJSONHandler(output, nil)).With("instance", "instance-1"))
	o.onGenerationDispatched = func(netip.AddrPort) {}
	now := time.Now()
	r := &relay.Request{ID: "0123456789abcdef", Workspace: "skaters", Service: "model", Route: &route.Route{Name: "long"}, Arrived: now, Engine: &route.Engine{}}
	endpoint := relay.Endpoint{ID: "i-0123456789", Address: netip.MustParseAddrPort("10.1.64.20:8525")}
	d := &relay.Dispatch{Request: r, Endpoint: endpoint, Deadline: now.Add(time.Minute)}
	result := &relay.Result{Outcome: relay.OutcomeServed, Status: 200, Endpoint: endpoint, Dispatches: 1, Events: 100, LastEvent: 100, AdmittedAt: now, BegunAt: now}
	b.ReportAllocs()
	for b.Loop() {
		o.Dispatched(d, 1)
		o.ended(r, result)
	}
	b.ReportMetric(float64(output.Dropped())/float64(b.N), "dropped/op")
}

// The line of an ended request names how far it was, and the ends that a stop is the cause of are counted by outcome.
func TestEndedLine(t *testing.T) {
	is := is.New(t)
	output := &bytes.Buffer{}
	o := newObserver(slog.New(slog.NewJSONHandler(output, nil)))
	now := time.Now()
	r := &relay.Request{ID: "r", Route: &route.Route{Name: "long"}, Arrived: now}
	o.ended(r, &relay.Result{Outcome: relay.OutcomeInterrupted, Reason: relay.ReasonClosing, Phase: relay.PhaseDelivering, LastEventAt: now.Add(-time.Hour), UnsentBytes: 17})
	line := output.String()
	is.True(strings.Contains(line, `"phase":"delivering","lastEventMs":3600`))
	is.True(strings.HasSuffix(line, `,"unsentBytes":17}`+"\n"))
	is.True(strings.Index(line, `"tookMs"`) < strings.Index(line, `"phase"`))
	output.Reset()
	for _, outcome := range []relay.Outcome{relay.OutcomeInterrupted, relay.OutcomeUnknown, relay.OutcomeNotRun, relay.OutcomeNotRun, relay.OutcomeCallerLeft, relay.OutcomeServed} {
		o.ended(r, &relay.Result{Outcome: outcome, Reason: relay.ReasonClosing})
	}
	o.ended(r, &relay.Result{Outcome: relay.OutcomeInterrupted, Reason: relay.ReasonConnectionLost})
	is.True(strings.Contains(output.String(), `"lastEventMs":-1`))
	is.Equal(o.cut.Load(), int64(2))
	is.Equal(o.unknown.Load(), int64(1))
	is.Equal(o.notRun.Load(), int64(2))
}
