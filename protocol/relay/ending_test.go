package relay

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"
)

// A run that the instance had stopped must not count as complete because its connection ended. Without framing, an answer is complete only if its
// endpoint ended it by itself.
func TestStoppedStreamEndsAsComplete(t *testing.T) {
	const events = 150
	refuse := func(status func() (Copy, error)) func(f *fakeFleet) {
		return func(f *fakeFleet) {
			f.answerMoves(func(_ context.Context, from, _ netip.AddrPort, last bool, stop func()) (Copy, error) {
				if !last {
					time.Sleep(400 * time.Millisecond) // copies take long, so that the run is stopped late
					return Copy{Source: from, Handle: "part"}, nil
				}
				stop()
				return status()
			})
		}
	}
	for _, c := range []struct {
		name string
		set  func(f *fakeFleet)
	}{
		{"the stop is refused late", refuse(func() (Copy, error) {
			time.Sleep(900 * time.Millisecond)
			return Copy{Source: fakeAddress(1), Handle: "kept"}, errFakeNoAnswer
		})},
		{"the stop gets no handle", refuse(func() (Copy, error) { return Copy{}, errFakeNoAnswer })},
		{"the call to stop times out", refuse(func() (Copy, error) {
			time.Sleep(4 * time.Second)
			return Copy{}, context.DeadlineExceeded
		})},
		{"the stop is refused since another call is in progress", refuse(func() (Copy, error) { return Copy{}, ErrMoveInProgress })},
		{"the stop is repeated once the run is gone", func(f *fakeFleet) {
			stops := 0
			f.answerMoves(func(_ context.Context, from, _ netip.AddrPort, last bool, stop func()) (Copy, error) {
				if !last {
					return Copy{Source: from, Handle: "part"}, nil
				}
				if stops++; stops > 1 {
					return Copy{}, ErrNoRun
				}
				stop()
				return Copy{}, errFakeNoAnswer
			})
		}},
	} {
		for _, framing := range []framing{unframed, framedByChunks, framedByLength} {
			for _, moved := range []bool{false, true} {
				name := c.name + ", " + framing.String()
				if moved {
					name += ", at its second endpoint"
				}
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFakeFleet(t, 3, events)
						f.framing = framing
						go func() {
							first := f.firstRun()
							time.Sleep(10 * fakeEventPause)
							if moved {
								f.notice(first)
								time.Sleep(10 * fakeEventPause)
								first = f.latest()
							}
							c.set(f)
							f.notice(first)
						}()
						f.assertAnswer(f.serve(t, false))
					})
				})
			}
		}
	}
}

// A stream that ends by itself is complete, also if its run was to be moved; an unframed one that ends with its deadline is not, since endpoints
// stop work then.
func TestEndOfUnframedStream(t *testing.T) {
	run := func(name string, check func(t *testing.T, f *fakeFleet)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, 2, 60)
				f.framing = unframed
				check(t, f)
			})
		})
	}
	run("complete", func(t *testing.T, f *fakeFleet) {
		result, text := f.serve(t, false)
		f.is.Equal(result.Outcome, OutcomeServed)
		f.assertAnswer(result, text)
	})
	run("ended before its first event, of which each run makes one", func(t *testing.T, f *fakeFleet) {
		f.events = 0
		result, _ := f.serve(t, false)
		f.is.Equal(result.Outcome, OutcomeUnknown)
	})
	run("complete before the stop", func(t *testing.T, f *fakeFleet) {
		f.move = func(_ context.Context, from, _ netip.AddrPort, last bool, _ func()) (Copy, error) {
			if last {
				return Copy{}, ErrNoRun
			}
			time.Sleep(60 * fakeEventPause)
			return Copy{Source: from, Handle: "part"}, nil
		}
		go func() { f.notice(f.firstRun()) }()
		result, text := f.serve(t, false)
		f.is.Equal(result.Outcome, OutcomeServed)
		f.assertAnswer(result, text)
	})
	run("stopped as the last event has been made: the rest is empty", func(t *testing.T, f *fakeFleet) {
		f.move = func(_ context.Context, from, _ netip.AddrPort, last bool, stop func()) (Copy, error) {
			if last {
				time.Sleep(59 * fakeEventPause)
				stop()
			}
			return Copy{Source: from, Handle: "h"}, nil
		}
		go func() { f.notice(f.firstRun()) }()
		result, text := f.serve(t, false)
		f.is.Equal(result.Outcome, OutcomeServed)
		f.assertAnswer(result, text)
	})
	run("ended by the endpoint at the deadline", func(t *testing.T, f *fakeFleet) {
		f.events = 100000
		stop := time.Now().Add(40*time.Second - fakeEventPause/2)
		go func() {
			address := f.firstRun()
			time.Sleep(time.Until(stop))
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.runs[address].stop()
		}()
		result, text := f.serve(t, false)
		f.is.Equal(result.Outcome, OutcomeInterrupted)
		f.assertAnswer(result, text)
	})
}
