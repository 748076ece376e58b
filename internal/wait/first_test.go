package wait

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestFirst(t *testing.T) {
	const interval = 250 * time.Millisecond
	t.Run("answered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			calls := 0
			value, err := First(t.Context(), interval, func(context.Context) (int, error) {
				calls++
				return 7, nil
			})
			is.NoErr(err)
			is.Equal(value, 7)
			is.Equal(calls, 1)
		})
	})
	t.Run("fails", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			cause := errors.New("refused")
			_, err := First(t.Context(), interval, func(context.Context) (int, error) { return 0, cause })
			is.Equal(err, cause)
		})
	})
	// The server does not respond for 2 s, serves for 300 ms and then does not respond again; calls that it received while it did not
	// respond are lost.
	t.Run("brieflyAvailable", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			available := time.Now().Add(2 * time.Second)
			_, err := First(t.Context(), interval, func(ctx context.Context) (int, error) {
				if now := time.Now(); !now.Before(available) && now.Before(available.Add(300*time.Millisecond)) {
					return 0, nil
				}
				<-ctx.Done()
				return 0, ctx.Err()
			})
			is.NoErr(err)
		})
	})
	t.Run("slow", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			started := time.Now()
			_, err := First(t.Context(), interval, func(ctx context.Context) (int, error) { return 0, For(ctx, time.Second) })
			is.NoErr(err)
			is.Equal(time.Since(started), time.Second)
		})
	})
	// On a slow link the first call is answered late, and further calls get no connection.
	t.Run("furtherCallsFail", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int32
			value, err := First(t.Context(), interval, func(ctx context.Context) (int, error) {
				if calls.Add(1) > 1 {
					return 0, errors.New("no connection")
				}
				return 7, For(ctx, time.Second)
			})
			is.NoErr(err)
			is.Equal(value, 7)
		})
	})
	t.Run("contextEnds", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := First(ctx, interval, func(ctx context.Context) (int, error) { return 0, For(ctx, time.Hour) })
			is.Equal(err, context.DeadlineExceeded)
		})
	})
}
