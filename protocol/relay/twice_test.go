package relay

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"dogwooddyke/state/route"
)

// A run whose connection has broken may go on at its endpoint. It must not go on at another one before that endpoint has ended it.
func TestRunGoesOnAtTwoEndpoints(t *testing.T) {
	const events, broken = 150, 40
	refused := fmt.Errorf("%w: %w", ErrUnreached, syscall.ECONNREFUSED)
	// answer has each call that is to stop the run answered in turn, the last answer repeatedly; ended says whether the call ends the run.
	type answer struct {
		ended  bool
		copied Copy
		err    error
	}
	copied := func() Copy { return Copy{Source: fakeAddress(1), Handle: "h"} }
	for _, c := range []struct {
		name      string
		worksOn   bool
		answers   []answer
		resumable bool
		whole     bool          // the caller gets the whole answer
		from      string        // from what it continues: a copy, the backup or nothing, which is a new run
		within    time.Duration // from the break until the run continues, in virtual time
	}{
		{"it is stopped and copied", true, []answer{{true, copied(), nil}}, false, true, "copy", 100 * time.Millisecond},
		{"it is stopped and not copied", true, []answer{{true, copied(), errors.New("no room")}}, false, true, "backup", 100 * time.Millisecond},
		{"it is stopped and not copied, without a backup", true, []answer{{true, copied(), errors.New("no room")}}, false, true, "copy", 100 * time.Millisecond},
		{"the call is not answered but has its effect", true, []answer{{true, Copy{}, errFakeNoAnswer}, {false, Copy{}, ErrNoRun}}, false, true, "backup", time.Second},
		{"another call is in progress", true, []answer{{false, Copy{}, ErrMoveInProgress}, {true, copied(), nil}}, false, true, "copy", time.Second},
		{"the endpoint says nothing for a while", true, append(slices.Repeat([]answer{{false, Copy{}, errFakeNoAnswer}}, 6), answer{true, copied(), nil}), false, true, "copy", 4 * time.Second},
		{"the endpoint never says that it has ended", true, []answer{{false, Copy{}, errFakeNoAnswer}}, false, false, "", 0},
		{"it has ended with its connection", false, []answer{{false, Copy{}, ErrNoRun}}, false, true, "backup", 100 * time.Millisecond},
		{"the endpoint has crashed", false, []answer{{false, Copy{}, refused}}, false, true, "backup", 10 * time.Millisecond},
		{"the endpoint can't be reached", false, []answer{{false, Copy{}, ErrUnreached}}, false, true, "backup", time.Second},
		{"a resumable run is stopped and copied", true, []answer{{true, copied(), nil}}, true, true, "copy", 100 * time.Millisecond},
		{"a resumable run has ended with its connection", false, []answer{{false, Copy{}, ErrNoRun}}, true, true, "new run", 100 * time.Millisecond},
		{"a resumable run at an endpoint that has crashed", false, []answer{{false, Copy{}, refused}}, true, true, "new run", 10 * time.Millisecond},
		{"a resumable run at an endpoint that never answers", false, []answer{{false, Copy{}, errFakeNoAnswer}}, true, true, "new run", time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, 3, events)
				f.noBackups = strings.HasSuffix(c.name, "without a backup")
				var first netip.AddrPort
				var brokenAt time.Time
				f.breaks = func(address netip.AddrPort) (int64, bool) {
					if first.IsValid() {
						return 0, false
					}
					first, brokenAt = address, time.Now().Add((broken+1)*fakeEventPause)
					return broken, c.worksOn
				}
				f.crashed = func(netip.AddrPort) bool { return errors.Is(c.answers[0].err, syscall.ECONNREFUSED) }
				calls := 0
				f.move = func(_ context.Context, from, _ netip.AddrPort, last bool, stop func()) (Copy, error) {
					f.is.Equal(from, first)
					f.is.True(last)
					a := c.answers[min(calls, len(c.answers)-1)]
					calls++
					if a.ended {
						stop()
					}
					return a.copied, a.err
				}
				result, text := f.serve(t, c.resumable)
				f.assertAnswer(result, text)
				f.is.Equal(result.Outcome == OutcomeServed, c.whole)
				f.is.Equal(len(f.sends) == 2, c.whole)
				for n, s := range f.sends[1:] {
					f.is.True(!s.working) // another endpoint still worked on it
					f.is.Equal(s.after, int64(broken))
					f.is.Equal(f.origin(n+1), c.from)
					f.is.True(s.at.Sub(brokenAt) <= c.within)
				}
			})
		})
	}
}

// A generation whose answer is lost goes on at its endpoint. It must be ended there before the request runs again elsewhere.
func TestRepeatWhileRunGoesOn(t *testing.T) {
	for name, kind := range map[string]route.Kind{"stream that may be resumed": route.KindStream, "whole answer that may be repeated": route.KindRepeat} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, 3, 100)
				var first netip.AddrPort
				f.loses = func(address netip.AddrPort) bool {
					if !first.IsValid() {
						first = address
					}
					return address == first
				}
				request := f.request(true)
				request.Route.Kind = kind
				result, _ := f.serveRequest(t, request)
				f.is.Equal(result.Outcome, OutcomeServed)
				f.is.Equal(len(f.sends), 2)
				f.is.True(!f.sends[1].working) // the first endpoint still worked on it
			})
		})
	}
}
