package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"dogwooddyke/internal/wait"
)

// pausedCase is a state in which no endpoint works on a run that its instance has stopped, or whose stream has broken off.
type pausedCase struct {
	name    string
	set     func(f *fakeFleet)
	whole   bool          // the caller gets the whole answer
	origins string        // from what each dispatch continues the run
	within  time.Duration // longest pause of the answer, in virtual time
}

// Errors of dispatches that endpoints do not run.
var (
	errFakeRefused = &NotRunError{Status: http.StatusServiceUnavailable}
	errFakeBusy    = &NotRunError{Status: http.StatusTooManyRequests}
	errFakeReused  = &NotRunError{Status: http.StatusMisdirectedRequest, AddressReused: true}
	errFakeClosed  = &NotRunError{Cause: fmt.Errorf("%w: %w", ErrUnreached, syscall.ECONNREFUSED)}
	errFakeLost    = &NotRunError{Cause: ErrUnreached}
)

// refuseMoved has the first dispatches that continue a run refused, so many of them, at any endpoint.
func refuseMoved(count int, err error) func(f *fakeFleet) {
	return func(f *fakeFleet) {
		left := count
		f.refuses = func(d *Dispatch) error {
			if d.Copy == nil || left == 0 {
				return nil
			}
			left--
			return err
		}
	}
}

// both applies two changes.
func both(a, b func(f *fakeFleet)) func(f *fakeFleet) {
	return func(f *fakeFleet) { a(f); b(f) }
}

func withoutBackups(f *fakeFleet) { f.noBackups = true }

func runPausedCase(t *testing.T, c pausedCase, begin func(f *fakeFleet, first netip.AddrPort)) {
	for _, framing := range []framing{framedByChunks, unframed} {
		for _, closing := range []bool{false, true} {
			name := c.name + ", " + framing.String()
			if closing {
				name += ", while the instance closes"
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFakeFleet(t, 4, 250)
					f.framing = framing
					end := func() {}
					if closing {
						f.closing, end = context.WithCancel(t.Context())
					}
					c.set(f)
					go func() {
						first := f.firstRun()
						time.Sleep(10*fakeEventPause + fakeEventPause/2)
						end()
						begin(f, first)
					}()
					result, text := f.serve(t, false)
					f.assertAnswer(result, text)
					f.is.Equal(strings.Join(f.origins(), ", "), c.origins)
					f.is.Equal(result.Outcome == OutcomeServed, c.whole)
					f.is.True(result.Outcome == OutcomeServed || result.Outcome == OutcomeInterrupted)
					f.is.True(result.LongestPause <= c.within)
					for _, s := range f.sends {
						f.is.True(!s.working) // another endpoint still worked on it
					}
					f.assertNothingHeld()
				})
			})
		}
	}
}

// The instance stops a run to move it. Until another endpoint works on it, what it can continue from must be kept: the copy, the memory at its source
// and the backup.
func TestStoppedRunIsCutBetweenEndpoints(t *testing.T) {
	const soon, later = 250 * time.Millisecond, 7 * time.Second
	// stopFails has the first last copy answered so late, with or without the handle.
	stopFails := func(delay time.Duration, withHandle bool, err error) func(f *fakeFleet) {
		return func(f *fakeFleet) {
			failed := false
			f.move = func(ctx context.Context, from, to netip.AddrPort, last bool, _ func()) (Copy, error) {
				copied, refused := f.copyRun(from, to, last)
				if !last || failed || refused != nil {
					return copied, refused
				}
				failed = true
				if err := wait.For(ctx, delay); err != nil {
					return Copy{}, err
				}
				if err != nil && !withHandle {
					return Copy{}, err
				}
				if err != nil {
					f.notTransferred(copied)
				}
				return copied, err
			}
		}
	}
	noRoom := errors.New("no room")
	for _, c := range []pausedCase{
		{"the target takes it", func(*fakeFleet) {}, true, "new run, copy", soon},
		{"the target refuses", refuseMoved(1, errFakeRefused), true, "new run, copy, source, copy", soon},
		{"the target is busy", refuseMoved(1, errFakeBusy), true, "new run, copy, source, copy", soon},
		{"the target is another process", refuseMoved(1, errFakeReused), true, "new run, copy, source, copy", soon},
		{"the target refuses connections", refuseMoved(1, errFakeClosed), true, "new run, copy, source, copy", soon},
		{"the target can't be reached", refuseMoved(1, errFakeLost), true, "new run, copy, source, copy", soon},
		{"target and source refuse", refuseMoved(2, errFakeRefused), true, "new run, copy, source, backup", soon},
		{"target and source refuse, without a backup", both(withoutBackups, refuseMoved(2, errFakeRefused)), true, "new run, copy, source, copy", time.Second},
		{"target, source and backup refuse", refuseMoved(3, errFakeRefused), true, "new run, copy, source, backup, copy", time.Second},
		{"everybody refuses for good", refuseMoved(1000, errFakeRefused), false, "new run, copy, source, backup, copy, source, backup, copy, source", later},
		{"the target asks for rest", func(f *fakeFleet) {
			restsUntil := time.Time{}
			f.refuses = func(d *Dispatch) error {
				if restsUntil.IsZero() && d.Copy != nil {
					restsUntil = time.Now().Add(time.Second)
					for address := range f.notices {
						f.router.SetResting(address, restsUntil, time.Now())
					}
				}
				if time.Now().Before(restsUntil) {
					return errFakeBusy
				}
				return nil
			}
			f.noBackups = true
		}, true, "new run, copy, source, copy", 1500 * time.Millisecond},
		{"the target is not in the roster any more", func(f *fakeFleet) {
			f.refuses = func(d *Dispatch) error {
				if !f.isSecondSend() {
					return nil
				}
				f.gone[d.Endpoint.Address] = true
				return errFakeClosed
			}
		}, true, "new run, copy, source, copy", soon},
		{"the target's data centre is evacuated", func(f *fakeFleet) {
			f.move = func(_ context.Context, from, to netip.AddrPort, last bool, _ func()) (Copy, error) {
				copied, err := f.copyRun(from, to, last)
				f.mutex.Lock()
				defer f.mutex.Unlock()
				if last && len(f.evacuated) == 0 {
					f.evacuated[to] = true
					f.router.SetLeaving(to, true, time.Now())
				}
				return copied, err
			}
		}, true, "new run, source, copy", soon},
		{"the target refuses and the source's data centre is evacuated", both(refuseMoved(1, errFakeRefused), func(f *fakeFleet) {
			f.move = func(_ context.Context, from, to netip.AddrPort, last bool, _ func()) (Copy, error) {
				copied, err := f.copyRun(from, to, last)
				f.mutex.Lock()
				defer f.mutex.Unlock()
				f.evacuated[from] = last
				return copied, err
			}
		}), true, "new run, copy, backup", soon},
		{"the target's connection breaks before the head and it works on", func(f *fakeFleet) {
			f.loses = func(netip.AddrPort) bool { return f.isSecondSend() }
		}, true, "new run, copy, copy", soon},
		{"the target's connection breaks before the head and the request has not come", func(f *fakeFleet) {
			f.refuses = func(*Dispatch) error {
				if f.isSecondSend() {
					return errFakeNoAnswer
				}
				return nil
			}
		}, true, "new run, copy, source, copy", soon},
		{"the target's connection breaks before the head and it does not say whether it works on", func(f *fakeFleet) {
			f.loses = func(netip.AddrPort) bool { return f.isSecondSend() }
			f.move = func(ctx context.Context, from, to netip.AddrPort, last bool, _ func()) (Copy, error) {
				if f.isSecond(from) {
					<-ctx.Done()
					return Copy{}, ctx.Err()
				}
				return f.copyRun(from, to, last)
			}
		}, false, "new run, copy", later},
		{"the target crashes before the head", func(f *fakeFleet) {
			f.refuses = func(*Dispatch) error {
				if f.isSecondSend() {
					return errFakeNoAnswer
				}
				return nil
			}
			f.crashed = func(address netip.AddrPort) bool { return len(f.origins()) == 2 && f.isSecond(address) }
			f.move = func(_ context.Context, from, to netip.AddrPort, last bool, _ func()) (Copy, error) {
				if f.isSecond(from) {
					return Copy{}, errFakeClosed.Cause
				}
				return f.copyRun(from, to, last)
			}
		}, true, "new run, copy, source, copy", soon},
		{"the target breaks off after some events", func(f *fakeFleet) {
			f.breaks = func(address netip.AddrPort) (int64, bool) {
				if f.isSecond(address) {
					return 30, false
				}
				return 0, false
			}
		}, true, "new run, copy, backup", soon},
		{"the target takes it and breaks off before the first event", func(f *fakeFleet) {
			f.breaks = func(address netip.AddrPort) (int64, bool) {
				if f.isSecond(address) {
					return 1, false
				}
				return 0, false
			}
		}, true, "new run, copy, source, backup", soon},
		{"the target breaks off before the first event and works on", func(f *fakeFleet) {
			f.breaks = func(address netip.AddrPort) (int64, bool) {
				if f.isSecond(address) {
					return 1, true
				}
				return 0, false
			}
		}, true, "new run, copy, copy", soon},
		{"the target is silent before the head", func(f *fakeFleet) { f.hides = func(netip.AddrPort) bool { return f.isSecondSend() } }, true, "new run, copy, copy", 3 * time.Second},
		{"the last copy is late", stopFails(5*time.Second, true, nil), true, "new run, copy", 6 * time.Second},
		{"the last copy fails", stopFails(0, true, noRoom), true, "new run, source, copy", soon},
		{"the last copy fails and no handle comes", stopFails(0, false, noRoom), true, "new run, backup", soon},
		{"the last copy's answer is lost", stopFails(4*time.Second, false, errFakeNoAnswer), true, "new run, backup", 5 * time.Second},
		{"the last copy's answer is lost, without a backup", both(withoutBackups, stopFails(4*time.Second, false, errFakeNoAnswer)), true, "new run, copy", 5 * time.Second},
		{"the last copy's answer is lost, without a backup, and the first copy is gone", both(withoutBackups, both(refuseMoved(1000, errFakeRefused), stopFails(4*time.Second, false, errFakeNoAnswer))), false, "new run, copy, copy, copy", 5 * time.Second},
		{"the source crashes during the last copy, without a backup", both(withoutBackups, func(f *fakeFleet) {
			f.crashed = func(netip.AddrPort) bool { return len(f.origins()) == 1 }
			f.move = func(_ context.Context, from, to netip.AddrPort, last bool, stop func()) (Copy, error) {
				if last {
					stop()
					return Copy{}, errFakeClosed.Cause
				}
				return f.copyRun(from, to, last)
			}
		}), true, "new run, copy", soon},
		{"the last copy fails when the source's time is over", stopFails(3*time.Second, true, noRoom), true, "new run, backup", 4 * time.Second},
		{"the last copy fails when the source's time is over, without a backup", both(withoutBackups, both(stopFails(3*time.Second, true, noRoom), func(f *fakeFleet) {
			f.copiesAgain = true
		})), true, "new run, copy", 4 * time.Second},
		{"the last copy fails when the source's time is over and nothing is left", both(withoutBackups, stopFails(3*time.Second, true, noRoom)), false, "new run", 4 * time.Second},
		{"no endpoint has a slot for a while", both(withoutBackups, func(f *fakeFleet) {
			stopFails(3*time.Second, true, noRoom)(f)
			f.copiesAgain = true
			f.places = f.noSlotFrom(1, 5*time.Second)
		}), true, "new run, copy", 6 * time.Second},
	} {
		runPausedCase(t, c, func(f *fakeFleet, first netip.AddrPort) { f.notice(first) })
	}
}
