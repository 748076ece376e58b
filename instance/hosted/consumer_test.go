package hosted

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/internal/wait"
	"dogwooddyke/platform"
	"dogwooddyke/state/position"
)

// The records of an overdue response are handled as after an outage of the log: the entries of endpoints that are missing from them may
// only have expired while the endpoints are alive.
func TestOverdueCall(t *testing.T) {
	overdueAfter := func(t *testing.T, duration time.Duration) *consumer {
		c := &consumer{instance: &Instance{log: platform.NewLog(netip.AddrPort{}, nil)}, next: position.Position{Era: 1, Offset: 7}}
		_, err := c.call(t.Context(), time.Second, func(ctx context.Context) (readResult, error) { return readResult{}, wait.For(ctx, duration) })
		is.New(t).NoErr(err)
		return c
	}
	t.Run("inTime", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := overdueAfter(t, time.Second+probeInterval/2)
			is.New(t).True(c.latestFailure.IsZero())
		})
	})
	t.Run("overdue", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := overdueAfter(t, time.Second+2*probeInterval)
			is.Equal(c.latestFailure, time.Now())
			is.Equal(c.lostPosition, position.Position{Era: 1, Offset: 7})
		})
	})
}
