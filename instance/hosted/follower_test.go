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
func TestAsk(t *testing.T) {
	took := func(t *testing.T, span time.Duration) *follower {
		f := &follower{instance: &Instance{}, offset: 7}
		_, err := f.ask(t.Context(), time.Second, func(ctx context.Context) (answer, error) { return answer{}, wait.For(ctx, span) })
		is.New(t).NoErr(err)
		return f
	}
	t.Run("inTime", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := took(t, time.Second+probeInterval/2)
			is.New(t).True(f.failed.IsZero())
		})
	})
	t.Run("overdue", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := took(t, time.Second+2*probeInterval)
			is.Equal(f.failed, time.Now())
			is.Equal(f.lostAt, int64(7))
		})
	})
}
