package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
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
