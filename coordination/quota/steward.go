package quota

import (
	"time"

	"dogwooddyke/state/process"
)

// Steward grants the permits of the endpoints that are assigned to this instance. It does no I/O and is not safe for concurrent use; callers
// pass the current time.
type Steward struct {
	accounts map[process.ID]*account
}

// account holds when the next permit of an endpoint is due. Granting one moves that time by the interval between two permits; it stays behind
// the present by burstDuration at most, so that unused time does not add up.
type account struct {
	due      time.Time
	usedAt   time.Time // of the latest ask
	probedAt time.Time // of the latest permit that was granted because the limit was in doubt
}

// NewSteward returns a steward that has granted nothing.
func NewSteward() *Steward { return &Steward{accounts: make(map[process.ID]*account)} }

// Need is what an instance asks a steward for.
type Need struct {
	Count    int           // permits
	Patience time.Duration // until which a permit must become valid
	Urgent   bool          // for runs in progress; granted at once even if it is not due, within maximumOverdraft
	Spent    int           // requests that were sent without a permit
	Doubt    time.Duration // between two permits that are granted because the limit is in doubt; zero: it is not
}

// Decision is what a steward grants.
type Decision struct {
	Delays     []time.Duration // of each granted permit, until it becomes valid, in order
	RetryAfter time.Duration   // until another ask with the same patience may succeed
}

// Decide grants permits of an endpoint at the given rate per second, which is above zero. A steward that has granted none before does not know
// what the one before it has granted, so its first permit is due only after the interval between two. While the limit is in doubt, a permit
// is granted each need.Doubt though none is due: the answer to that request says whether the limit still holds.
func (s *Steward) Decide(e process.ID, need Need, rate float64, now time.Time) Decision {
	interval := time.Duration(float64(time.Second) / rate)
	a := s.accounts[e]
	if a == nil {
		if len(s.accounts) >= maximumAccounts {
			return Decision{RetryAfter: otherStewardDelay}
		}
		a = &account{due: now.Add(interval), probedAt: now.Add(-staleNews)}
		s.accounts[e] = a
	}
	a.usedAt = now
	a.update(interval, now)
	a.due = a.due.Add(time.Duration(need.Spent) * interval)
	horizon := now.Add(min(need.Patience, maximumReservation))
	if need.Urgent {
		horizon = now.Add(maximumOverdraft * interval)
	}
	decision := Decision{}
	for range min(need.Count, maximumCount) {
		if a.due.After(horizon) {
			break
		}
		delay := max(a.due.Sub(now), 0)
		if need.Urgent {
			delay = 0
		}
		decision.Delays = append(decision.Delays, delay)
		a.due = a.due.Add(interval)
	}
	if need.Doubt > 0 && len(decision.Delays) == 0 && now.Sub(a.probedAt) >= need.Doubt {
		decision.Delays = []time.Duration{0}
		a.due, a.probedAt = a.due.Add(interval), now
	}
	decision.RetryAfter = min(max(a.due.Sub(horizon), leastRetryDelay), staleNews)
	return decision
}

// update bounds the time at which the next permit is due. A rate that has risen must not leave it as far ahead as the former one has put it.
func (a *account) update(interval time.Duration, now time.Time) {
	earliest := now.Add(-burstDuration)
	latest := now.Add(maximumReservation + (maximumOverdraft+1)*interval)
	switch {
	case a.due.Before(earliest):
		a.due = earliest
	case a.due.After(latest):
		a.due = latest
	}
}

// Retain forgets the endpoints for which keep returns false.
func (s *Steward) Retain(keep func(e process.ID) bool) {
	for e := range s.accounts {
		if !keep(e) {
			delete(s.accounts, e)
		}
	}
}

// Grants reports whether an instance has asked for permits of the endpoint lately.
func (s *Steward) Grants(e process.ID, now time.Time) bool {
	a := s.accounts[e]
	return a != nil && now.Sub(a.usedAt) <= recentAsk
}
