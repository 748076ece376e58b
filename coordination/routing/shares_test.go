package routing

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/endpoint"
)

// An engine that stands idle for all instances: what others observed of its speed just before is no observation of this one's, nor
// does it take one away.
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
