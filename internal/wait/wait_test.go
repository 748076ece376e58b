package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestFor(t *testing.T) {
	t.Run("fullDuration", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			started := time.Now()
			is.NoErr(For(t.Context(), time.Second))
			is.Equal(time.Since(started), time.Second)
		})
	})
	t.Run("contextEnds", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			is.Equal(For(ctx, time.Hour), context.DeadlineExceeded)
		})
	})
}

func TestJitter(t *testing.T) {
	is := is.New(t)
	for range 1000 {
		jittered := Jitter(time.Second)
		is.True(jittered >= time.Second/2 && jittered <= 3*time.Second/2)
	}
}
