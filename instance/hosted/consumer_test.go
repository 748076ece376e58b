package hosted

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/internal/wait"
)

// What an answer tells that was overdue is taken as after an outage: servers that are missing in it may only have lapsed.
func TestOverdueCall(t *testing.T) {
	call := func(t *testing.T, duration time.Duration) *consumer {
		c := &consumer{instance: &Instance{}, offset: 7}
		_, err := c.call(t.Context(), time.Second, func(ctx context.Context) (readResult, error) { return readResult{}, wait.For(ctx, duration) })
		is.New(t).NoErr(err)
		return c
	}
	t.Run("inTime", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := call(t, time.Second+probeInterval/2)
			is.New(t).True(c.latestFailure.IsZero())
		})
	})
	t.Run("overdue", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := call(t, time.Second+2*probeInterval)
			is.Equal(c.latestFailure, time.Now())
			is.Equal(c.lostOffset, int64(7))
		})
	})
}
