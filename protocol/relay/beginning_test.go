package relay

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// An answer whose head was passed while the request was about to be ended as unbegun was cut at that time already, instead of going on.
func TestHeadPassedWhileRequestEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := context.WithCancelCause(t.Context())
		sink := &recordingSink{}
		x := &execution{ctx: ctx, outbox: newOutbox(sink, nil, func() {})}
		passed := make(chan error, 1)
		x.endUnbegun(func(cause error) {
			go func() { passed <- x.passHead(http.StatusOK, nil) }()
			synctest.Wait() // the head comes just now
			end(cause)
		})
		err := <-passed
		is.NoErr(x.outbox.close(t.Context()))
		is.True(errors.Is(err, errClosing)) // the head is not passed
		is.True(!x.result.Begun)

		other, cancel := context.WithCancelCause(t.Context())
		defer cancel(nil)
		y := &execution{ctx: other, outbox: newOutbox(sink, nil, func() {})}
		is.NoErr(y.passHead(http.StatusOK, nil))
		y.endUnbegun(cancel)
		is.NoErr(y.outbox.close(t.Context()))
		is.NoErr(other.Err()) // an answer that has begun goes on
	})
}
