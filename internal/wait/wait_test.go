package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestFor(t *testing.T) {
	t.Run("whole", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			begun := time.Now()
			is.NoErr(For(t.Context(), time.Second))
			is.Equal(time.Since(begun), time.Second)
		})
	})
	t.Run("cut", func(t *testing.T) {
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
		spread := Jitter(time.Second)
		is.True(spread >= time.Second/2 && spread <= 3*time.Second/2)
	}
}
