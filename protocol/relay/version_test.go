package relay

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// versionCase is a way on which a run leaves its endpoint.
type versionCase struct {
	name      string
	resumable bool
	set       func(f *fakeFleet)
	notice    bool // the endpoint leaves
}

// breaksOnce has the connection of the first endpoint break after 40 events.
func breaksOnce(worksOn bool) func(f *fakeFleet) {
	return func(f *fakeFleet) {
		f.breaks = func(address netip.AddrPort) (int64, bool) { return f.onlyFirst(address, 40), worksOn }
	}
}

// crashesOnce has the first endpoint crash after 40 events.
func crashesOnce(f *fakeFleet) {
	breaksOnce(false)(f)
	f.crashed = func(address netip.AddrPort) bool { return address == f.first }
	f.move = func(_ context.Context, from, to netip.AddrPort, last bool, _ func()) (Copy, error) {
		if from == f.first {
			return Copy{}, fmt.Errorf("%w: %w", ErrUnreached, syscall.ECONNREFUSED)
		}
		return f.copyRun(from, to, last)
	}
}

var versionCases = []versionCase{
	{"the endpoint crashes", true, crashesOnce, false},
	{"the endpoint crashes and others have a backup", false, crashesOnce, false},
	{"the connection breaks", true, breaksOnce(false), false},
	{"the connection breaks and the endpoint works on", true, breaksOnce(true), false},
	{"the connection breaks and the endpoint works on, of a run that runs once", false, breaksOnce(true), false},
	{"the endpoint leaves", false, func(*fakeFleet) {}, true},
	{"the endpoint leaves and the next one refuses", false, refuseMoved(1, errFakeRefused), true},
	{"the endpoint leaves and the next two refuse", false, refuseMoved(2, errFakeRefused), true},
	{"the connection goes silent", true, func(f *fakeFleet) {
		f.silences = func(address netip.AddrPort) int64 { return f.onlyFirst(address, 40) }
	}, false},
	{"the connection goes silent, of a run that runs once", false, func(f *fakeFleet) {
		f.silences = func(address netip.AddrPort) int64 { return f.onlyFirst(address, 40) }
	}, false},
	{"the copy's endpoint crashes", false, func(f *fakeFleet) {
		f.refuses = func(d *Dispatch) error {
			if d.Origin == OriginCopy && f.isSecondSend() {
				return errFakeClosed
			}
			return nil
		}
	}, true},
	{"the last copy fails", false, func(f *fakeFleet) {
		failed := false
		f.move = func(_ context.Context, from, to netip.AddrPort, last bool, _ func()) (Copy, error) {
			copied, err := f.copyRun(from, to, last)
			if err == nil && last && !failed {
				failed = true
				f.notTransferred(copied)
				return copied, errors.New("no room")
			}
			return copied, err
		}
	}, true},
}

// A stream that has begun at one version of the software went on at endpoints of another one, whose events don't fit.
func TestStreamGoesOnAtAnotherVersion(t *testing.T) {
	for _, c := range versionCases {
		for _, peers := range []byte{1, 2, 4} { // endpoints of each version
			t.Run(fmt.Sprintf("%s, %d of each version", c.name, peers), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFakeFleet(t, 8, 250)
					f.versions = make(map[netip.AddrPort]string)
					for n := range byte(8) {
						f.versions[fakeAddress(n+1)] = fmt.Sprint("v", n/peers)
					}
					c.set(f)
					go func() {
						first := f.firstRun()
						time.Sleep(10*fakeEventPause + fakeEventPause/2)
						if c.notice {
							f.notice(first)
						}
					}()
					result, text := f.serve(t, c.resumable)
					f.assertAnswer(result, text)
					for _, s := range f.sends {
						f.is.Equal(f.versions[s.endpoint], f.versions[f.sends[0].endpoint])
					}
					if peers > 1 {
						f.is.Equal(result.Outcome, OutcomeServed)
					}
					f.assertNothingHeld()
				})
			})
		}
	}
}

// A stream without an event may go on at any version.
func TestStreamWithoutEventGoesToAnyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(t, 2, 50)
		f.versions = map[netip.AddrPort]string{fakeAddress(1): "v0", fakeAddress(2): "v1"}
		f.loses = func(address netip.AddrPort) bool {
			if !f.first.IsValid() {
				f.first = address
			}
			return address == f.first
		}
		result, text := f.serve(t, true)
		f.assertAnswer(result, text)
		f.is.Equal(result.Outcome, OutcomeServed)
		f.is.True(f.versions[f.sends[0].endpoint] != f.versions[f.latest()])
	})
}

// An endpoint of another version has started at the address that the router still knows for one of the stream's version.
func TestAddressIsOfAnotherVersion(t *testing.T) {
	for name, resumable := range map[string]bool{"resumable": true, "once": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, 4, 250)
				f.versions = make(map[netip.AddrPort]string)
				for n := range byte(4) {
					f.versions[fakeAddress(n+1)] = "v0"
				}
				crashesOnce(f)
				go func() {
					first := f.firstRun()
					time.Sleep(10 * fakeEventPause)
					f.mutex.Lock()
					defer f.mutex.Unlock()
					for address := range f.versions {
						if address != first {
							f.versions[address] = "v1"
						}
					}
				}()
				result, text := f.serve(t, resumable)
				f.assertAnswer(result, text)
				f.is.Equal(result.Outcome, OutcomeInterrupted)
				for _, s := range f.sends {
					f.is.Equal(s.endpoint, f.sends[0].endpoint)
				}
				f.assertNothingHeld()
			})
		})
	}
}
