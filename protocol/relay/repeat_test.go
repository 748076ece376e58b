package relay

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/route"
)

// noRepeats allows no repeats.
func noRepeats() RetryLimits { return RetryLimits{Window: 10 * time.Second, Instances: 1} }

// crowdedRouter grants the first slot only; further requests are refused, or wait if there is no refusal.
type crowdedRouter struct {
	*routing.Router
	refusal routing.Reason
	granted bool
}

func (c *crowdedRouter) Acquire(ctx context.Context, spec *routing.RequestSpec) (*routing.Slot, error) {
	if !c.granted {
		c.granted = true
		return c.Router.Acquire(ctx, spec)
	}
	if c.refusal == "" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, &routing.RefusalError{Reason: c.refusal}
}

// lateRouter takes a while to grant a slot after the first.
type lateRouter struct {
	*routing.Router
	delay   time.Duration
	granted bool
}

func (l *lateRouter) Acquire(ctx context.Context, spec *routing.RequestSpec) (*routing.Slot, error) {
	if l.granted {
		time.Sleep(l.delay)
	}
	l.granted = true
	return l.Router.Acquire(context.WithoutCancel(ctx), spec)
}

// runsBy returns the runs in progress by the router.
func runsBy(router *routing.Router) int {
	runs := 0
	router.Demands(time.Now(), func(_ netip.AddrPort, d endpoint.Demand) { runs += d.Running })
	return runs
}

// repeatableRequest returns a request that may be sent three times; its answer is late after a second.
func (f *fakeFleet) repeatableRequest(kind route.Kind) *Request {
	request := f.request(true)
	request.Route.Kind, request.Route.Target = kind, time.Second
	request.Engine.Moves = false
	return request
}

// slowFirst has the endpoint that gets the request first begin its answer late.
func (f *fakeFleet) slowFirst(delay time.Duration) {
	f.delays = func(address netip.AddrPort) time.Duration { return time.Duration(f.onlyFirst(address, int64(delay))) }
}

// forRepeatables runs a check with each kind of request that may be repeated, and the time after which its first attempt is late.
func forRepeatables(t *testing.T, endpoints byte, check func(t *testing.T, f *fakeFleet, request *Request, late time.Duration)) {
	for name, kind := range map[string]route.Kind{"whole answer": route.KindRepeat, "resumable stream": route.KindStream} {
		late := map[route.Kind]time.Duration{route.KindRepeat: 1600 * time.Millisecond, route.KindStream: minimumSilenceTimeout}[kind]
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, endpoints, 50)
				check(t, f, f.repeatableRequest(kind), late)
			})
		})
	}
}

// A silent endpoint may be slow. Its attempt must not be given up for a repeat that is not allowed, or has no place: the caller had no answer then,
// though the endpoint was about to give one.
func TestSilentAttemptGivenUpWithoutRepeat(t *testing.T) {
	const slow = 9 * time.Second
	for name, set := range map[string]func(f *fakeFleet, r *Runner){
		"retry budget used up": func(_ *fakeFleet, r *Runner) { r.RetryLimits = noRepeats },
		"no place soon": func(_ *fakeFleet, r *Runner) {
			r.Router = &crowdedRouter{Router: routerOf(r)}
		},
		"repeat refused by the router": func(_ *fakeFleet, r *Runner) {
			r.Router = &crowdedRouter{Router: routerOf(r), refusal: routing.ReasonQueueFull}
		},
		"no other endpoint": func(_ *fakeFleet, r *Runner) {
			for n := byte(2); n <= 3; n++ {
				routerOf(r).SetLeaving(fakeAddress(n), true, time.Now())
			}
		},
		"repeat could not end before the instance closes": func(_ *fakeFleet, r *Runner) {
			closing, end := context.WithCancel(context.Background())
			time.AfterFunc(14*time.Second, end)
			r.Closing = closing
			time.AfterFunc(time.Second, func() { routerOf(r).SetClosing(time.Now().Add(13*time.Second), time.Now()) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			forRepeatables(t, 3, func(t *testing.T, f *fakeFleet, request *Request, _ time.Duration) {
				r := f.runner()
				f.slowFirst(slow)
				set(f, r)
				result := r.Run(t.Context(), request, &recordingSink{})
				f.is.Equal(len(f.sends), 1)
				f.is.Equal(result.Outcome, OutcomeServed)
			})
		})
	}
}

// A silent attempt that is given up must be sent elsewhere at once, as long as that is allowed and possible.
func TestSilentAttemptIsRepeated(t *testing.T) {
	t.Run("elsewhere", func(t *testing.T) {
		forRepeatables(t, 3, func(t *testing.T, f *fakeFleet, request *Request, late time.Duration) {
			f.slowFirst(9 * time.Second)
			result, _ := f.serveRequest(t, request)
			f.is.Equal(result.Outcome, OutcomeServed)
			f.is.Equal(len(f.sends), 2)
			f.is.Equal(f.sends[1].at.Sub(f.sends[0].at), late)
			f.is.True(!f.sends[1].working)
		})
	})
	t.Run("once the retry budget allows it", func(t *testing.T) {
		forRepeatables(t, 3, func(t *testing.T, f *fakeFleet, request *Request, _ time.Duration) {
			f.slowFirst(9 * time.Second)
			r := f.runner()
			usual := r.RetryLimits
			allowed := time.Now().Add(5 * time.Second)
			r.RetryLimits = func() RetryLimits {
				if time.Now().Before(allowed) {
					return noRepeats()
				}
				return usual()
			}
			result := r.Run(t.Context(), request, &recordingSink{})
			f.is.Equal(result.Outcome, OutcomeServed)
			f.is.Equal(len(f.sends), 2)
			f.is.True(f.sends[1].at.Sub(allowed) < 300*time.Millisecond)
		})
	})
	t.Run("at the only endpoint, when a repeat is about to be too late", func(t *testing.T) {
		forRepeatables(t, 1, func(t *testing.T, f *fakeFleet, request *Request, _ time.Duration) {
			sent := 0
			f.hides = func(netip.AddrPort) bool { sent++; return sent == 1 }
			result, _ := f.serveRequest(t, request)
			f.is.Equal(result.Outcome, OutcomeServed)
			f.is.Equal(len(f.sends), 2)
		})
	})
}

// A repeat at the endpoint itself must have as much time as the attempt that is given up for it: one that began later was cut by the deadline, and the
// answer of the first attempt was lost.
func TestSilentAttemptRepeatedTooLateAtItsEndpoint(t *testing.T) {
	forRepeatables(t, 1, func(t *testing.T, f *fakeFleet, request *Request, _ time.Duration) {
		f.events = 5
		f.delays = func(netip.AddrPort) time.Duration { return 2700 * time.Millisecond }
		request.Deadline = request.Arrived.Add(3 * time.Second)
		result, _ := f.serveRequest(t, request)
		f.is.Equal(len(f.sends), 1)
		f.is.Equal(result.Outcome, OutcomeServed)
	})
}

// What was reserved for a repeat must be given back if the answer comes all the same: the place was taken for good then, and the permit lost.
func TestReservedRepeatIsLost(t *testing.T) {
	forRepeatables(t, 3, func(t *testing.T, f *fakeFleet, request *Request, late time.Duration) {
		if request.Route.Kind == route.KindRepeat {
			f.events = 2 // its answer is whole before there is a place
		}
		f.slowFirst(late + 10*time.Millisecond)
		r := f.runner()
		router := routerOf(r)
		r.Router = &lateRouter{Router: router, delay: repeatPause - time.Millisecond}
		result := r.Run(t.Context(), request, &recordingSink{})
		f.is.Equal(result.Outcome, OutcomeServed)
		f.is.Equal(len(f.sends), 1)
		f.is.Equal(runsBy(router), 0)
		limits := RetryLimits{Extra: 2, Window: 10 * time.Second, Instances: 1}
		f.is.True(r.Budgets.Of(request.Service).Take(limits, time.Now())) // which one retry of the request would use up
	})
}
