package routing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/endpoint"
)

// TestNoShareYet submits a request while other instances hold all shares of the only endpoint; it must start once a share is granted.
func TestNoShareYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRouter(1, 0)
		start := time.Now()
		time.AfterFunc(time.Second, func() {
			now := time.Now()
			r.SetShare(address(1), endpoint.Share{Slots: 1, Memory: 1 << 16, Spread: 1, Until: now.Add(time.Hour)}, now)
		})
		_, err := r.Acquire(context.Background(), specFor("w", time.Minute))
		is.NoErr(err)
		is.Equal(time.Since(start), time.Second)
	})
}
