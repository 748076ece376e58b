package relay

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"
)

// stopAfter has an instance end answers that have begun, and close connections a little later.
func (f *fakeFleet) stopAfter(t *testing.T, ending, closed time.Duration) {
	for _, c := range []struct {
		stage *context.Context
		after time.Duration
	}{{&f.closing, ending}, {&f.ending, ending}, {&f.closed, closed}} {
		ctx, end := context.WithCancel(t.Context())
		*c.stage = ctx
		time.AfterFunc(c.after, end)
	}
}

// A request that an instance ends as it closes must tell this cause and how far it was, and not that its caller has left.
func TestStopTakenForCallerLeft(t *testing.T) {
	const stop = 210 * time.Millisecond
	run := func(name string, endpoints byte, check func(t *testing.T, f *fakeFleet)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, endpoints, 100)
				f.stopAfter(t, stop, time.Second)
				check(t, f)
			})
		})
	}
	assertClosing := func(f *fakeFleet, result Result, outcome Outcome, phase Phase) {
		f.is.Helper()
		f.is.Equal(result.Outcome, outcome)
		f.is.Equal(result.Reason, ReasonClosing)
		f.is.Equal(result.Err, errClosing)
		f.is.Equal(result.Phase, phase)
	}
	run("streaming", 1, func(t *testing.T, f *fakeFleet) {
		result, text := f.serve(t, false)
		assertClosing(f, result, OutcomeInterrupted, PhaseStreaming)
		f.assertAnswer(result, text) // what had come is sent
		f.is.Equal(result.LastEvent, int64(stop/fakeEventPause))
		f.is.Equal(time.Since(result.LastEventAt), stop%fakeEventPause)
		f.is.Equal(result.UnsentBytes, 0)
		f.is.Equal(f.failed, []error{errClosing})
	})
	run("streaming, of a kind that may be repeated", 2, func(t *testing.T, f *fakeFleet) {
		result, _ := f.serve(t, true)
		assertClosing(f, result, OutcomeInterrupted, PhaseStreaming)
		f.is.Equal(len(f.sends), 1)
	})
	run("between two endpoints", 2, func(t *testing.T, f *fakeFleet) {
		f.breaks = func(address netip.AddrPort) (int64, bool) { return f.onlyFirst(address, 3), true }
		f.answerMoves(func(ctx context.Context, _, _ netip.AddrPort, _ bool, _ func()) (Copy, error) {
			<-ctx.Done()
			return Copy{}, ctx.Err()
		})
		result, text := f.serve(t, false)
		f.is.Equal(result.Outcome, OutcomeInterrupted)
		f.is.Equal(result.Reason, ReasonClosing)
		f.is.Equal(result.Phase, PhaseBetween)
		f.assertAnswer(result, text)
	})
	run("sent", 1, func(t *testing.T, f *fakeFleet) {
		f.hides = func(netip.AddrPort) bool { return true }
		result, _ := f.serve(t, false)
		assertClosing(f, result, OutcomeUnknown, PhaseSent)
		f.is.Equal(f.failed, []error{errClosing})
	})
	run("between two endpoints, before a head", 2, func(t *testing.T, f *fakeFleet) {
		f.stopAfter(t, 4*time.Second, 5*time.Second)
		f.hides = func(netip.AddrPort) bool { return true }
		f.answerMoves(func(ctx context.Context, from, _ netip.AddrPort, last bool, _ func()) (Copy, error) {
			if last {
				<-ctx.Done()
				return Copy{}, ctx.Err()
			}
			return Copy{Source: from, Handle: "h", Created: 3}, nil
		})
		result, _ := f.serve(t, false)
		f.is.Equal(result.Outcome, OutcomeUnknown)
		f.is.Equal(result.Reason, ReasonClosing)
		f.is.Equal(result.Phase, PhaseBetween)
		f.is.Equal(len(f.sends), 1)
	})
	run("waiting", 1, func(t *testing.T, f *fakeFleet) {
		r := f.runner()
		r.Router = waitingRouter{}
		assertClosing(f, r.Run(t.Context(), f.request(false), &recordingSink{}), OutcomeNotRun, PhaseWaiting)
	})
	run("delivering, until connections close", 1, func(t *testing.T, f *fakeFleet) {
		f.events = 5
		sink := newPausingSink()
		began := time.Now()
		result := f.runner().Run(t.Context(), f.request(false), sink)
		assertClosing(f, result, OutcomeInterrupted, PhaseDelivering)
		f.is.Equal(time.Since(began), time.Second)
		f.is.Equal(result.UnsentBytes, 5*len("id: 1\n\n"))
		f.is.Equal(f.failed, nil)
	})
	run("delivering to a caller who takes it until connections close", 1, func(t *testing.T, f *fakeFleet) {
		f.events = 5
		sink := newPausingSink()
		time.AfterFunc(2*stop, func() { close(sink.resume) })
		result := f.runner().Run(t.Context(), f.request(false), sink)
		f.is.Equal(result.Outcome, OutcomeServed)
		f.is.Equal(result.Phase, PhaseDelivered)
		f.is.Equal(result.UnsentBytes, 0)
	})
	run("streaming to a caller who reads nothing", 1, func(t *testing.T, f *fakeFleet) {
		result := f.runner().Run(t.Context(), f.request(false), newPausingSink())
		assertClosing(f, result, OutcomeInterrupted, PhaseStreaming)
		f.is.True(result.UnsentBytes > 0)
	})
	for _, delay := range []time.Duration{stop / 2, stop} {
		run("a caller who leaves after "+delay.String(), 1, func(t *testing.T, f *fakeFleet) {
			f.stopAfter(t, stop+time.Nanosecond, time.Second)
			ctx, leave := context.WithCancel(t.Context())
			time.AfterFunc(delay, leave)
			result := f.runner().Run(ctx, f.request(false), &recordingSink{})
			f.is.Equal(result.Outcome, OutcomeCallerLeft)
			f.is.Equal(result.Reason, ReasonCallerLeft)
			f.is.Equal(result.Phase, PhaseStreaming)
		})
	}
	run("a caller who leaves while the answer is delivered", 1, func(t *testing.T, f *fakeFleet) {
		f.events = 5
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(2*stop, leave)
		result := f.runner().Run(ctx, f.request(false), newPausingSink())
		f.is.Equal(result.Outcome, OutcomeCallerLeft)
		f.is.Equal(result.Phase, PhaseDelivering)
	})
}
