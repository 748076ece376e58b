package relay

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/route"
)

// When the instance closes, a request whose answer has not begun must get an answer that is true, while an answer that has begun goes on.
func TestClosing(t *testing.T) {
	closeAfter := func(t *testing.T, f *fakeFleet, delay time.Duration) {
		closing, end := context.WithCancel(t.Context())
		f.closing = closing
		time.AfterFunc(delay, end)
	}
	run := func(name string, check func(t *testing.T, f *fakeFleet)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { check(t, newFakeFleet(t, 1, 100)) })
		})
	}
	run("an answer that has begun goes on", func(t *testing.T, f *fakeFleet) {
		closeAfter(t, f, 10*fakeEventPause)
		result, text := f.serve(t, false)
		f.is.Equal(result.Outcome, OutcomeServed)
		f.assertAnswer(result, text)
	})
	run("a request that was sent may have run", func(t *testing.T, f *fakeFleet) {
		closeAfter(t, f, fakeEventPause/2)
		result, _ := f.serve(t, false)
		f.is.Equal(result.Outcome, OutcomeUnknown)
		f.is.Equal(result.Reason, ReasonClosing)
	})
	run("so may one that may be repeated, and it is not sent again", func(t *testing.T, f *fakeFleet) {
		closeAfter(t, f, fakeEventPause/2)
		result, _ := f.serve(t, true)
		f.is.Equal(result.Outcome, OutcomeUnknown)
		f.is.Equal(len(f.sends), 1)
	})
	run("a request that waits has not run", func(t *testing.T, f *fakeFleet) {
		closeAfter(t, f, time.Second)
		r := f.runner()
		r.Router = waitingRouter{}
		result := r.Run(t.Context(), f.request(false), &recordingSink{})
		f.is.Equal(result.Outcome, OutcomeNotRun)
		f.is.Equal(result.Reason, ReasonClosing)
		f.is.True(result.RetryAt.After(time.Now()))
		f.is.Equal(len(f.sends), 0)
	})
	run("a caller who has left is still told apart", func(t *testing.T, f *fakeFleet) {
		is := is.New(t)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(fakeEventPause/2, leave)
		result := f.runner().Run(ctx, f.request(false), &recordingSink{})
		is.Equal(result.Outcome, OutcomeCallerLeft)
	})
}

// While an instance is stopped, a silent endpoint must have all of the time in which endpoints may answer, in each attempt of each kind of request: its
// caller gets the instance's own answer then, not sooner. A repeat that could not end before the stop must not begin.
func TestSilentAttemptWhileClosing(t *testing.T) {
	const latest, answered, events = 14 * time.Second, 12 * time.Second, 20
	refused := func(f *fakeFleet) {
		f.refusesLate = func(netip.AddrPort) bool { return len(f.sends) == 1 }
	}
	for _, c := range []struct {
		name   string
		notice time.Duration // from the request's arrival until the instance is stopped
		once   bool          // also with requests that may run once only
		set    func(f *fakeFleet)
		sends  int
	}{
		{"first attempt", time.Second, true, func(*fakeFleet) {}, 1},
		{"second attempt after a refusal", time.Second, true, refused, 2},
		{"second attempt after silence", 3 * time.Second, false, func(*fakeFleet) {}, 2},
	} {
		for kind, r := range map[string]route.Route{
			"whole answer, once":       {Kind: route.KindOnce, Attempts: 1},
			"whole answer, repeatable": {Kind: route.KindRepeat, Attempts: 3},
			"stream, once":             {Kind: route.KindStream, Attempts: 1},
			"stream, resumable":        {Kind: route.KindStream, Attempts: 3, Resumable: true},
		} {
			for _, slow := range []bool{true, false} {
				if !c.once && !r.Repeatable() {
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, slow %t", c.name, kind, slow), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFakeFleet(t, 3, events)
						c.set(f)
						arrived := time.Now()
						f.delays = func(netip.AddrPort) time.Duration {
							if f.refusesLate != nil && f.refusesLate(netip.AddrPort{}) {
								return 0
							}
							if slow {
								return time.Until(arrived.Add(answered))
							}
							return time.Hour
						}
						closing, end := context.WithCancel(t.Context())
						f.closing = closing
						time.AfterFunc(latest, end)
						runner := f.runner()
						router := routerOf(runner)
						time.AfterFunc(c.notice, func() { router.SetClosing(arrived.Add(latest-time.Second), time.Now()) })
						request := f.request(r.Resumable)
						request.Route = &r
						request.Route.Target = time.Second
						result := runner.Run(t.Context(), request, &recordingSink{})
						f.is.Equal(len(f.sends), c.sends)
						if slow {
							f.is.Equal(result.Outcome, OutcomeServed)
							return
						}
						f.is.Equal(result.Outcome, OutcomeUnknown)
						f.is.Equal(result.Reason, ReasonClosing)
						f.is.Equal(time.Since(arrived), latest)
					})
				})
			}
		}
	}
}

// A plain request that is sent again late must be judged by the whole time that such answers take: it was passed on shortly before the instance closed, and
// its caller got no answer, or the attempt that was about to be answered was given up for it.
func TestLateRepeatOfPlainRequestWhileClosing(t *testing.T) {
	for _, c := range []struct {
		name    string
		route   route.Route
		delay   time.Duration // until the first endpoint answers
		refuses bool          // it answers with a refusal
		outcome Outcome
	}{
		{"refused late, and runs once", route.Route{Kind: route.KindOnce, Attempts: 1}, 1900 * time.Millisecond, true, OutcomeNotRun},
		{"late, and may be repeated", route.Route{Kind: route.KindRepeat, Attempts: 3}, 4 * time.Second, false, OutcomeServed},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, 3, 20)
				f.plain = true
				f.delays = func(netip.AddrPort) time.Duration { return c.delay }
				f.refusesLate = func(netip.AddrPort) bool { return c.refuses && len(f.sends) == 1 }
				closing, end := context.WithCancel(t.Context())
				f.closing = closing
				time.AfterFunc(5*time.Second, end)
				runner := f.runner()
				router, until := routerOf(runner), time.Now().Add(4500*time.Millisecond)
				time.AfterFunc(time.Second, func() { router.SetClosing(until, time.Now()) })
				request := f.request(false)
				request.Route = &c.route
				request.Route.Target = 2 * time.Second
				result := runner.Run(t.Context(), request, &recordingSink{})
				f.is.Equal(len(f.sends), 1)
				f.is.Equal(result.Outcome, c.outcome)
			})
		})
	}
}
