package relay

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/catalogue"
)

// slowSink is a caller that takes a while to read each event.
type slowSink struct {
	delay time.Duration
	bytes int
}

func (s *slowSink) Begin(int, http.Header) error { return nil }

func (s *slowSink) Cancel() {}

func (s *slowSink) Write(data []byte) error {
	time.Sleep(s.delay)
	s.bytes += len(data)
	return nil
}

// streamExecution returns an execution that forwards a stream to the sink.
func streamExecution(t *testing.T, sink Sink) *execution {
	router := routing.New(routing.Config{})
	address := netip.MustParseAddrPort("10.0.0.1:80")
	router.SetEntry(&catalogue.Entry{Name: "s", Endpoints: []catalogue.Endpoint{{Address: address}}}, time.Now())
	slot, err := router.Place(&routing.RequestSpec{Entry: "s"})
	is.New(t).NoErr(err)
	return &execution{request: &Request{}, ctx: t.Context(), outbox: newOutbox(sink, nil, func() {}), slot: slot, screening: quarantineOff.Screen(nil, 0)}
}

// quarantineOff lets all requests through.
var quarantineOff *quarantine.Exchange

// A caller that reads slowly must not count as a silent endpoint, and must not make the timer fire twice, which ended the process.
func TestSilenceTimer(t *testing.T) {
	const timeout = time.Second
	t.Run("slow caller", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			sink := &slowSink{delay: 5 * timeout}
			x := streamExecution(t, sink)
			ctx, cancel := context.WithCancel(t.Context())
			silence := &silenceTimer{}
			silence.start(timeout, cancel)
			err := x.relayEvents(&Reply{Body: io.NopCloser(strings.NewReader("id: 1\n\nid: 2\n\nid: 3\n\n"))}, silence)
			is.NoErr(err)
			is.NoErr(ctx.Err())
			is.NoErr(silence.cause(nil))
			is.NoErr(x.outbox.close(ctx))
			is.Equal(sink.bytes, len("id: 1\n\nid: 2\n\nid: 3\n\n"))
		})
	})
	t.Run("silent endpoint", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			x := streamExecution(t, &slowSink{})
			body, endpoint := io.Pipe()
			silence := &silenceTimer{}
			silence.start(timeout, func() { _ = endpoint.CloseWithError(context.Canceled) })
			go func() {
				_, _ = endpoint.Write([]byte("id: 1\n\n")) // the reader checks what it reads
			}()
			err := x.relayEvents(&Reply{Body: body}, silence)
			is.True(err != nil)
			is.Equal(silence.cause(err), errSilent)
			is.NoErr(x.outbox.close(t.Context()))
		})
	})
}

// The connection of a run that can't run again may go silent for good while its endpoint works on. The run must continue elsewhere then, but not when its
// endpoint is only slow.
func TestSilentConnectionOfRun(t *testing.T) {
	const events, silent = 600, 100
	for _, c := range []struct {
		name  string
		set   func(f *fakeFleet)
		sends int
		whole bool
	}{
		{"goes silent", func(f *fakeFleet) {
			f.silences = func(address netip.AddrPort) int64 { return f.onlyFirst(address, silent) }
		}, 2, true},
		{"goes silent before the first event", func(f *fakeFleet) {
			f.events = 1000
			f.silences = func(address netip.AddrPort) int64 { return f.onlyFirst(address, -1) }
		}, 2, true},
		{"goes silent before the head", func(f *fakeFleet) {
			f.events = 1000
			f.hides = func(address netip.AddrPort) bool {
				if !f.first.IsValid() {
					f.first = address
				}
				return address == f.first
			}
		}, 2, true},
		{"goes silent and the endpoint can't be asked", func(f *fakeFleet) {
			f.silences = func(address netip.AddrPort) int64 { return f.onlyFirst(address, silent) }
			f.answerMoves(func(context.Context, netip.AddrPort, netip.AddrPort, bool, func()) (Copy, error) {
				return Copy{}, ErrUnreached
			})
		}, 1, false},
		{"of a slow endpoint", func(f *fakeFleet) {
			f.pauses = func(netip.AddrPort) (int64, time.Duration) { return silent, 9 * time.Second }
		}, 1, true},
		{"of an endpoint that begins late", func(f *fakeFleet) {
			f.pauses = func(netip.AddrPort) (int64, time.Duration) { return 1, 9 * time.Second }
			f.answerMoves(func(context.Context, netip.AddrPort, netip.AddrPort, bool, func()) (Copy, error) {
				return Copy{}, ErrNoRun
			})
		}, 1, true},
		{"of an endpoint that makes events in bursts", func(f *fakeFleet) {
			f.pauses = func(netip.AddrPort) (int64, time.Duration) { return silent, 2010 * time.Millisecond }
		}, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, 3, events)
				c.set(f)
				result, text := f.serve(t, false)
				f.assertAnswer(result, text)
				f.is.Equal(result.Outcome == OutcomeServed, c.whole)
				f.is.Equal(len(f.sends), c.sends)
				for _, s := range f.sends {
					f.is.True(!s.working)
				}
			})
		})
	}
}
