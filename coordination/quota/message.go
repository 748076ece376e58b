package quota

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"dogwooddyke/state/process"
	"dogwooddyke/state/ratelimit"
)

// Ask is a message from an instance to the steward of an endpoint.
type Ask struct {
	From     netip.AddrPort `cbor:"1,keyasint"`
	Number   uint64         `cbor:"2,keyasint"` // of the ask, rising with each one that the instance sends
	Notice   Notice         `cbor:"3,keyasint"` // what the instance knows of the endpoint's limit
	Count    int            `cbor:"4,keyasint"`
	Patience time.Duration  `cbor:"5,keyasint,omitempty"`
	Urgent   bool           `cbor:"6,keyasint,omitempty"`
	Spent    int            `cbor:"7,keyasint,omitempty"`
}

// Grant is a steward's answer to an ask.
type Grant struct {
	Number     uint64          `cbor:"1,keyasint"` // of the ask
	Notice     Notice          `cbor:"2,keyasint"` // what the steward knows of the endpoint's limit
	Delays     []time.Duration `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration   `cbor:"4,keyasint,omitempty"`
	Urgent     bool            `cbor:"5,keyasint,omitempty"`
}

// Notice is what an instance knows of an endpoint's limit. Clocks of instances differ, so it holds the age of the news, not their time.
type Notice struct {
	Endpoint  netip.AddrPort `cbor:"1,keyasint"`
	Start     uint64         `cbor:"2,keyasint"`
	Named     bool           `cbor:"3,keyasint,omitempty"`
	PerSecond float64        `cbor:"4,keyasint,omitempty"`
	Age       time.Duration  `cbor:"5,keyasint,omitempty"`
}

// noticeOf returns the notice of news.
func noticeOf(n ratelimit.News, now time.Time) Notice {
	return Notice{
		Endpoint:  n.Endpoint.Address,
		Start:     n.Endpoint.Start,
		Named:     n.Limit.Named,
		PerSecond: n.Limit.PerSecond,
		Age:       max(now.Sub(n.At), 0),
	}
}

// News returns the news of a notice that is received now.
func (n Notice) News(now time.Time) ratelimit.News {
	return ratelimit.News{
		Endpoint: process.ID{Address: n.Endpoint, Start: n.Start},
		Limit:    ratelimit.Limit{Named: n.Named, PerSecond: n.PerSecond},
		At:       now.Add(-n.Age),
	}
}

// Check returns an error that names the first field whose value is out of range.
func (n Notice) Check() error {
	switch {
	case !n.Endpoint.IsValid():
		return errors.New("rate limit: endpoint has no valid address")
	case !(n.PerSecond >= 0) || math.IsInf(n.PerSecond, 0):
		return fmt.Errorf("rate limit of endpoint %s: perSecond is not a number from 0 on: %g", n.Endpoint, n.PerSecond)
	case n.Age < 0:
		return fmt.Errorf("rate limit of endpoint %s: age is negative: %s", n.Endpoint, n.Age)
	}
	return nil
}

// Check returns an error that names the first field whose value is out of range.
func (a *Ask) Check() error {
	switch {
	case !a.From.IsValid():
		return errors.New("ask for permits: sender has no valid address")
	case a.Count < 1 || a.Count > maximumCount:
		return fmt.Errorf("ask for permits from %s: count is outside 1 to %d: %d", a.From, maximumCount, a.Count)
	case a.Patience < 0 || a.Spent < 0 || a.Spent > maximumCount:
		return fmt.Errorf("ask for permits from %s: patience %s or spent %d is out of range", a.From, a.Patience, a.Spent)
	}
	return a.Notice.Check()
}

// Check returns an error that names the first field whose value is out of range.
func (g *Grant) Check() error {
	if len(g.Delays) > maximumCount {
		return fmt.Errorf("grant of permits: more than %d permits: %d", maximumCount, len(g.Delays))
	}
	for _, d := range g.Delays {
		if d < 0 || d > maximumReservation {
			return fmt.Errorf("grant of permits: delay is outside 0 to %s: %s", maximumReservation, d)
		}
	}
	if g.RetryAfter < 0 {
		return fmt.Errorf("grant of permits: retryAfter is negative: %s", g.RetryAfter)
	}
	return g.Notice.Check()
}
