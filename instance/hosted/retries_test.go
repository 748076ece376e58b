package hosted

import (
	"io"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/coordination/gossip"
)

func TestRetryLimitsWhileOthersAreNotHeardOf(t *testing.T) {
	others := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7200"), netip.MustParseAddrPort("10.0.0.3:7200"), netip.MustParseAddrPort("10.0.0.4:7200")}
	// extra returns the retries that the instance may make in addition to those that its requests allow.
	extra := func(i *Instance) int { return i.retryLimits().Extra / i.retryLimits().Instances }
	instance := func(t *testing.T) *Instance {
		return New(newFleet(t).newSettings(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	}
	t.Run("an instance that has just started does not take itself for the whole fleet", func(t *testing.T) {
		is := is.New(t)
		i := instance(t)
		is.Equal(extra(i), 0)
		i.gossiper.addPeers(others)
		is.Equal(extra(i), 50/4)
	})
	t.Run("nor does one that is cut off", func(t *testing.T) {
		i := instance(t)
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			for _, o := range others {
				i.gossiper.peers.Apply(&gossip.Report{From: o, Start: 1, Sequence: 1}, time.Now())
			}
			is.Equal(extra(i), 50/4)
			time.Sleep(time.Minute)
			is.Equal(extra(i), 50/4)
		})
	})
	t.Run("one that has read that it is alone may make all of them", func(t *testing.T) {
		f := newFleet(t)
		i := f.startInstance()
		f.eventually("registered", i.othersListed.Load)
		is.New(t).Equal(extra(i), 50)
	})
}
