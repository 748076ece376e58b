package relay

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"dogwooddyke/coordination/routing"
)

// An endpoint's answer with an error status must reach the caller whenever the request gets no better one, and in time.
func TestErrorAnswerIsLostWithRepeat(t *testing.T) {
	const closing = 5 * time.Second
	first := func(f *fakeFleet) bool { return len(f.sends) == 1 }
	closes := func(_ *fakeFleet, r *Runner) {
		ctx, end := context.WithCancel(context.Background())
		r.Closing = ctx
		time.AfterFunc(closing, end)
	}
	silent := func(f *fakeFleet) {
		f.delays = func(netip.AddrPort) time.Duration {
			if first(f) {
				return 0
			}
			return time.Hour
		}
	}
	for name, c := range map[string]struct {
		set   func(f *fakeFleet, r *Runner)
		sends int
		at    time.Duration // when the caller has the answer
	}{
		"no retry budget": {func(_ *fakeFleet, r *Runner) { r.RetryLimits = noRepeats }, 1, 0},
		"repeat refused by the router": {func(_ *fakeFleet, r *Runner) {
			r.Router = &crowdedRouter{Router: routerOf(r), refusal: routing.ReasonQueueFull}
		}, 1, 0},
		"no place until the deadline": {func(_ *fakeFleet, r *Runner) {
			r.Router = &crowdedRouter{Router: routerOf(r)}
		}, 1, 40 * time.Second},
		"no place until the instance closes": {func(f *fakeFleet, r *Runner) {
			r.Router = &crowdedRouter{Router: routerOf(r)}
			closes(f, r)
		}, 1, closing},
		"repeat could not end before the instance closes": {func(_ *fakeFleet, r *Runner) {
			router := routerOf(r)
			r.Router = &lateRouter{Router: router, delay: 2 * time.Second}
			time.AfterFunc(time.Second, func() { router.SetClosing(time.Now().Add(time.Second), time.Now()) })
		}, 1, 2 * time.Second},
		"repeat lost": {func(f *fakeFleet, _ *Runner) {
			f.loses = func(netip.AddrPort) bool { return !first(f) }
		}, 3, 0},
		"repeat refused by all endpoints": {func(f *fakeFleet, _ *Runner) {
			f.refusesLate = func(netip.AddrPort) bool { return !first(f) }
		}, 1 + maximumNotRun, 0},
		"repeat silent until the deadline": {func(f *fakeFleet, _ *Runner) { silent(f) }, 3, 40 * time.Second},
		"repeat silent until the instance closes": {func(f *fakeFleet, r *Runner) {
			silent(f)
			closes(f, r)
		}, 3, closing},
		"repeat fails as well": {func(f *fakeFleet, _ *Runner) { f.fails = func(netip.AddrPort) bool { return true } }, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			forRepeatables(t, 5, func(t *testing.T, f *fakeFleet, request *Request, _ time.Duration) {
				f.fails = func(netip.AddrPort) bool { return first(f) }
				r := f.runner()
				c.set(f, r)
				sink := &recordingSink{}
				began := time.Now()
				result := r.Run(t.Context(), request, sink)
				f.stopRuns()
				f.is.Equal(result.Outcome, OutcomeFailed)
				f.is.Equal(result.Status, http.StatusInternalServerError)
				f.is.Equal(sink.text.String(), fakeFailure)
				f.is.Equal(time.Since(began), c.at)
				f.is.Equal(len(f.sends), c.sends)
			})
		})
	}
}
