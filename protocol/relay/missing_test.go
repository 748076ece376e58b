package relay

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"dogwooddyke/coordination/routing"
)

// placingRouter places the continuation of runs so many times only.
type placingRouter struct {
	*routing.Router
	left int
}

func (p *placingRouter) Place(spec *routing.RequestSpec) (*routing.Slot, error) {
	if p.left--; p.left < 0 {
		return nil, &routing.RefusalError{Reason: routing.ReasonNoEndpoint}
	}
	return p.Router.Place(spec)
}

// The silent connection of a run must be kept until the run can certainly continue elsewhere: it may come back, and its answer was broken off though the
// endpoint went on making it.
func TestSilentConnectionGivenUpWithoutContinuation(t *testing.T) {
	const events, silent = 900, 100
	once := func(f *fakeFleet, back time.Duration) {
		f.silences = func(address netip.AddrPort) int64 { return f.onlyFirst(address, silent) }
		f.returns = func(address netip.AddrPort) time.Duration { return time.Duration(f.onlyFirst(address, int64(back))) }
	}
	copied := func(from netip.AddrPort) Copy { return Copy{Source: from, Handle: "h", Created: events} }
	for _, c := range []struct {
		name   string
		set    func(f *fakeFleet, r *Runner)
		sends  int
		unsure bool // without framing, the end of the stream may be the stop of its run
	}{
		{"the endpoint does not say that it has stopped the run", func(f *fakeFleet, _ *Runner) {
			once(f, 12*time.Second)
			f.move = func(_ context.Context, from, _ netip.AddrPort, last bool, _ func()) (Copy, error) {
				if last {
					return Copy{}, errFakeNoAnswer
				}
				return copied(from), nil
			}
		}, 1, true},
		{"the endpoint does not know the run any more and there is no backup", func(f *fakeFleet, _ *Runner) {
			once(f, 12*time.Second)
			f.noBackups = true
			f.move = func(_ context.Context, from, _ netip.AddrPort, last bool, _ func()) (Copy, error) {
				if last {
					return Copy{}, ErrNoRun
				}
				return copied(from), nil
			}
		}, 1, false},
		{"no endpoint takes the run when its endpoint has been asked", func(f *fakeFleet, r *Runner) {
			once(f, 12*time.Second)
			f.noBackups = true
			r.Router = &placingRouter{Router: routerOf(r), left: 1}
		}, 2, false},
		{"the run has continued elsewhere as often as it may", func(f *fakeFleet, _ *Runner) {
			sent := int64(0)
			f.silences = func(netip.AddrPort) int64 { sent++; return sent * silent }
			f.returns = func(netip.AddrPort) time.Duration { return 8 * time.Second }
		}, 1 + maximumRestores, false},
		{"it comes back before that is certain", func(f *fakeFleet, _ *Runner) { once(f, 2100*time.Millisecond) }, 1, false},
		{"it comes back while its endpoint stops the run", func(f *fakeFleet, _ *Runner) {
			once(f, 3*time.Second)
			f.move = func(_ context.Context, from, _ netip.AddrPort, last bool, stop func()) (Copy, error) {
				if last {
					stop()
					time.Sleep(time.Second)
				}
				return copied(from), nil
			}
		}, 2, false},
		{"the call that stops the run is not answered", func(f *fakeFleet, _ *Runner) {
			once(f, 3*time.Second)
			stops := 0
			f.move = func(_ context.Context, from, _ netip.AddrPort, last bool, stop func()) (Copy, error) {
				if !last {
					return copied(from), nil
				}
				if stops++; stops > 1 {
					return Copy{}, ErrNoRun
				}
				stop()
				return Copy{}, errFakeNoAnswer
			}
		}, 2, false},
	} {
		for _, framing := range []framing{unframed, framedByChunks} {
			t.Run(c.name+", "+framing.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFakeFleet(t, 3, events)
					f.framing = framing
					r := f.runner()
					router := routerOf(r)
					c.set(f, r)
					sink := &recordingSink{}
					result := r.Run(t.Context(), f.request(false), sink)
					r.Wait()
					f.assertAnswer(result, sink.text.String())
					f.is.Equal(len(f.sends), c.sends)
					f.is.Equal(result.LastEvent, int64(events))
					f.is.Equal(result.Outcome == OutcomeServed, !c.unsure || framing != unframed)
					f.is.Equal(runsBy(router), 0)
				})
			})
		}
	}
}

// A resumable stream whose connection has gone silent for good must go on from a copy of its run, also if the retry budget allows no repeat; going on
// from a copy costs none.
func TestSilentConnectionOfResumableStream(t *testing.T) {
	for name, attempts := range map[string]int{"a repeat is allowed": 3, "no repeat is allowed": 3, "the last attempt": 1} {
		limits := noRepeats()
		if name == "a repeat is allowed" {
			limits.Extra = 2
		}
		for _, silent := range []int64{-1, 100} {
			t.Run(fmt.Sprintf("%s, after event %d", name, silent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFakeFleet(t, 3, 600)
					f.silences = func(address netip.AddrPort) int64 { return f.onlyFirst(address, silent) }
					r := f.runner()
					router := routerOf(r)
					r.RetryLimits = func() RetryLimits { return limits }
					sink := &recordingSink{}
					request := f.request(true)
					request.Route.Attempts = attempts
					result := r.Run(t.Context(), request, sink)
					r.Wait()
					f.assertAnswer(result, sink.text.String())
					f.is.Equal(result.Outcome, OutcomeServed)
					f.is.Equal(len(f.sends), 2)
					f.is.Equal(f.origin(1), "copy")
					f.is.Equal(runsBy(router), 0)
					f.is.Equal(r.Budgets.Of("s").Take(limits, time.Now()), limits.Extra > 0)
				})
			})
		}
	}
}

// The copy by which an endpoint was asked for the events that it has made must be freed if the connection is kept: it held memory of the target until
// that ended.
func TestCopyOfSilentRunIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, 3, 600)
		f.silences = func(address netip.AddrPort) int64 { return f.onlyFirst(address, 100) }
		f.returns = func(netip.AddrPort) time.Duration { return 9 * time.Second }
		f.answerMoves(func(_ context.Context, from, to netip.AddrPort, last bool, _ func()) (Copy, error) {
			if last {
				return Copy{}, errFakeNoAnswer
			}
			return f.copyRun(from, to, false)
		})
		r := f.runner()
		result := r.Run(t.Context(), f.request(false), &recordingSink{})
		r.Wait()
		f.is.Equal(result.Outcome, OutcomeServed)
		f.is.True(len(f.memories) > 0)
		for _, m := range f.memories {
			f.is.True(m.dropped)
		}
	})
}
