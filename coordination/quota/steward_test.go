package quota

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/process"
)

func TestDecide(t *testing.T) {
	e := process.Of(netip.MustParseAddrPort("10.1.0.1:80"), "e-1", 1)
	start := time.Unix(1000, 0)
	one := Need{Count: 1}
	// settled returns a steward whose next permit of 4 a second is due at the start.
	settled := func() *Steward {
		s := NewSteward()
		s.Decide(e, one, 4, start.Add(-250*time.Millisecond))
		return s
	}
	t.Run("a new steward waits for one interval", func(t *testing.T) {
		is := is.New(t)
		s := NewSteward()
		is.Equal(s.Decide(e, one, 4, start), Decision{RetryAfter: 250 * time.Millisecond})
		is.Equal(s.Decide(e, one, 4, start.Add(250*time.Millisecond)).Delays, []time.Duration{0})
	})
	t.Run("permits are granted at the rate", func(t *testing.T) {
		is := is.New(t)
		s := settled()
		granted := 0
		for n := range 1000 {
			granted += len(s.Decide(e, Need{Count: 3}, 4, start.Add(time.Duration(n)*10*time.Millisecond)).Delays)
		}
		is.Equal(granted, 40) // in 10 s
	})
	t.Run("permits that nobody asks for do not add up", func(t *testing.T) {
		is := is.New(t)
		s := settled()
		is.Equal(len(s.Decide(e, Need{Count: 20}, 4, start.Add(time.Hour)).Delays), 1)
		is.Equal(len(s.Decide(e, Need{Count: 20}, 100, start.Add(2*time.Hour)).Delays), 11)
	})
	t.Run("a permit is granted ahead for a request that waits for it", func(t *testing.T) {
		is := is.New(t)
		s := settled()
		is.Equal(s.Decide(e, Need{Count: 3, Patience: 300 * time.Millisecond}, 4, start).Delays, []time.Duration{0, 250 * time.Millisecond})
		is.Equal(s.Decide(e, Need{Count: 1, Patience: 300 * time.Millisecond}, 4, start), Decision{RetryAfter: 200 * time.Millisecond})
		is.Equal(len(s.Decide(e, Need{Count: 20, Patience: time.Hour}, 4, start).Delays), 3) // within maximumReservation
	})
	t.Run("a run in progress gets a permit before it is due, and new requests wait for it", func(t *testing.T) {
		is := is.New(t)
		s := settled()
		is.Equal(len(s.Decide(e, Need{Count: 20, Urgent: true}, 4, start).Delays), maximumOverdraft+1)
		is.Equal(len(s.Decide(e, one, 4, start.Add(900*time.Millisecond)).Delays), 0)
		is.Equal(len(s.Decide(e, one, 4, start.Add(1000*time.Millisecond)).Delays), 1)
	})
	t.Run("requests that were sent without a permit count", func(t *testing.T) {
		is := is.New(t)
		s := settled()
		is.Equal(s.Decide(e, Need{Count: 1, Spent: 2}, 4, start), Decision{RetryAfter: 500 * time.Millisecond})
	})
	t.Run("a rate that rises holds at once", func(t *testing.T) {
		is := is.New(t)
		s := NewSteward()
		s.Decide(e, one, minimumRate, start) // the next permit is due in 5 s
		is.True(s.Decide(e, one, 100, start).RetryAfter <= maximumReservation+50*time.Millisecond)
	})
	t.Run("a limit that no answer has confirmed for a while is tried", func(t *testing.T) {
		is := is.New(t)
		s := NewSteward()
		doubtful := Need{Count: 1, Doubt: staleNews}
		is.Equal(s.Decide(e, doubtful, minimumRate, start).Delays, []time.Duration{0})
		is.Equal(s.Decide(e, doubtful, minimumRate, start.Add(time.Second)), Decision{RetryAfter: staleNews})
		is.Equal(len(s.Decide(e, doubtful, minimumRate, start.Add(staleNews)).Delays), 1)
		is.Equal(len(s.Decide(e, one, minimumRate, start.Add(2*staleNews)).Delays), 0) // confirmed
	})
	t.Run("one that is cut off does not try it at once", func(t *testing.T) {
		is := is.New(t)
		s := NewSteward()
		isolated := Need{Count: 1, Doubt: 8 * staleNews}
		is.Equal(len(s.Decide(e, isolated, minimumRate/8, start).Delays), 0)
		is.Equal(len(s.Decide(e, isolated, minimumRate/8, start.Add(7*staleNews)).Delays), 1)
	})
}
