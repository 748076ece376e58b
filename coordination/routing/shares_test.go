package routing

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/endpoint"
)

// TestObservePeerInterval checks that intervals measured by other instances change neither up nor down the number of samples that this
// instance reports as its own, also while the engine is idle.
func TestObservePeerInterval(t *testing.T) {
	at := time.Unix(1000, 0)
	samples := func(c *Core) (sum int) {
		c.Demands(at, func(_ netip.AddrPort, d endpoint.Demand) { sum += d.Samples })
		return sum
	}
	t.Run("idle", func(t *testing.T) {
		is := is.New(t)
		c := newCore(1, 8, 1<<20, at)
		c.ObservePeerInterval(c.Endpoints()[0], 20*time.Millisecond, at)
		is.Equal(samples(c), 0)
	})
	t.Run("inUse", func(t *testing.T) {
		is := is.New(t)
		c := newCore(1, 8, 1<<20, at)
		r := c.Place(&RequestSpec{Entry: "e", PromptTokens: 100}, at)
		c.ObservePeerInterval(r.Endpoint(), 20*time.Millisecond, at)
		is.Equal(samples(c), 0)
		is.Equal(c.endpoints[r.Endpoint()].speed.Samples(), 1)
	})
}
