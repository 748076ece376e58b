package relay

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dogwooddyke/coordination/routing"
)

// When the stream of a run has broken off, the run must continue from any memory that is left, whether at its endpoint or elsewhere.
func TestBrokenRunIsCutBetweenEndpoints(t *testing.T) {
	const soon, refused = 250 * time.Millisecond, 2 * time.Second
	breaks := func(worksOn bool) func(f *fakeFleet) {
		return func(f *fakeFleet) {
			f.breaks = func(netip.AddrPort) (int64, bool) {
				if broken := len(f.origins()) > 1; broken {
					return 0, false
				}
				return 40, worksOn
			}
		}
	}
	notCopied := func(f *fakeFleet) {
		f.move = func(_ context.Context, from, to netip.AddrPort, last bool, _ func()) (Copy, error) {
			copied, err := f.copyRun(from, to, last)
			if err == nil {
				f.notTransferred(copied)
				err = errors.New("no room")
			}
			return copied, err
		}
	}
	noCopy := func(f *fakeFleet) {
		f.refuses = func(*Dispatch) error {
			clear(f.backups)
			return nil
		}
	}
	noSlots := func(pause time.Duration) func(f *fakeFleet) {
		return func(f *fakeFleet) { f.places = f.noSlotFrom(0, pause) }
	}
	for _, c := range []pausedCase{
		{"the backup's endpoint has no copy, its own has stopped it", both(breaks(true), both(notCopied, noCopy)), true, "new run, backup, source", soon},
		{"the backup's endpoint has no copy, its own has ended it", both(breaks(false), noCopy), false, "new run, backup, backup, backup", refused},
		{"the backup's endpoint has crashed as well", both(breaks(false), refuseMoved(1000, errFakeClosed)), false, "new run, backup", soon},
		{"the backup's endpoint refuses once", both(breaks(false), refuseMoved(1, errFakeBusy)), true, "new run, backup, backup", time.Second},
		{"the backup's connection breaks before the head, and the run may wait in its endpoint's queue", both(breaks(false), func(f *fakeFleet) {
			f.refuses = func(d *Dispatch) error {
				if d.Copy != nil {
					return errFakeNoAnswer
				}
				return nil
			}
		}), false, "new run, backup", soon},
		{"no endpoint has a slot for a while", both(breaks(true), both(withoutBackups, noSlots(4*time.Second))), true, "new run, copy", 5 * time.Second},
		{"no endpoint has a slot for a while, and it has a backup", both(breaks(false), noSlots(4*time.Second)), true, "new run, backup", 5 * time.Second},
		{"no endpoint has a slot for long", both(breaks(true), both(withoutBackups, noSlots(time.Minute))), false, "new run", soon},
	} {
		runPausedCase(t, c, func(*fakeFleet, netip.AddrPort) {})
	}
}

// A caller may leave, or the deadline may pass, while no endpoint works on the run.
func TestPausedRunEnds(t *testing.T) {
	run := func(name string, check func(t *testing.T, f *fakeFleet, request *Request)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, 4, 250)
				refuseMoved(1000, errFakeRefused)(f)
				go func() {
					first := f.firstRun()
					time.Sleep(10*fakeEventPause + fakeEventPause/2)
					f.notice(first)
				}()
				check(t, f, f.request(false))
				f.is.True(!f.decided[len(f.decided)-1])
				f.assertNothingHeld()
			})
		})
	}
	run("its caller leaves", func(t *testing.T, f *fakeFleet, request *Request) {
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(500*time.Millisecond, leave)
		result := f.runner().Run(ctx, request, &recordingSink{})
		f.is.Equal(result.Outcome, OutcomeCallerLeft)
	})
	run("its deadline passes", func(t *testing.T, f *fakeFleet, request *Request) {
		request.Deadline = request.Arrived.Add(500 * time.Millisecond)
		result := f.runner().Run(t.Context(), request, &recordingSink{})
		f.is.Equal(result.Outcome, OutcomeInterrupted)
		f.is.Equal(result.Reason, ReasonDeadline)
	})
	run("nobody takes it", func(t *testing.T, f *fakeFleet, request *Request) {
		result := f.runner().Run(t.Context(), request, &recordingSink{})
		f.is.Equal(result.Outcome, OutcomeInterrupted)
		f.is.Equal(result.Moves, 0)
	})
}

// Endpoints that refuse to continue a run, since they lack its memory, are as sound as before.
func TestRefusedContinuationEjectsEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, 4, 250)
		refuseMoved(1000, errFakeRefused)(f)
		f.breaks = func(netip.AddrPort) (int64, bool) { return 40, true }
		r := f.runner()
		for range 40 {
			f.is.Equal(r.Run(t.Context(), f.request(false), &recordingSink{}).Outcome, OutcomeInterrupted)
		}
		for only := range f.notices {
			spec := routing.RequestSpec{Entry: "s"}
			for address := range f.notices {
				if address != only {
					spec.Exclude = append(spec.Exclude, address)
				}
			}
			slot, err := f.router.Place(&spec)
			f.is.NoErr(err)
			slot.Release(routing.OutcomeCancelled, time.Now())
		}
	})
}

// A resumable run may run again, but its memory is used where an endpoint still has it. Nothing is waited for.
func TestResumableRunIsRefused(t *testing.T) {
	for _, c := range []struct {
		refusals int
		origins  string
	}{
		{1, "new run, copy, source"},
		{2, "new run, copy, source, new run"},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(t, 4, 250)
			refuseMoved(c.refusals, errFakeRefused)(f)
			f.breaks = func(netip.AddrPort) (int64, bool) {
				if len(f.origins()) > 1 {
					return 0, false
				}
				return 40, true
			}
			result, text := f.serve(t, true)
			f.assertAnswer(result, text)
			f.is.Equal(result.Outcome, OutcomeServed)
			f.is.Equal(strings.Join(f.origins(), ", "), c.origins)
			f.is.True(result.LongestPause <= 100*time.Millisecond)
			f.assertNothingHeld()
		})
	}
}

// Each endpoint refuses a run that is moved off a leaving one. It must not go to and fro between them until it is given up, all in one moment.
func TestRunGoesToAndFro(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, 4, 250)
		f.noBackups = true
		refused := 0
		f.refuses = func(d *Dispatch) error {
			if d.Copy == nil || d.Copy.Source == d.Endpoint.Address {
				return nil
			}
			refused++
			return errFakeRefused
		}
		go func() {
			first := f.firstRun()
			time.Sleep(10*fakeEventPause + fakeEventPause/2)
			f.notice(first)
		}()
		result, text := f.serve(t, false)
		f.assertAnswer(result, text)
		f.is.Equal(result.Outcome, OutcomeServed)
		f.is.Equal(refused, 4) // once by each endpoint at once, then once more
	})
}
