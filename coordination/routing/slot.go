package routing

import (
	"net/netip"
	"time"
)

// Slot is the right of an admitted request to run on an endpoint. Release must be called when the run ends.
type Slot struct {
	router  *Router
	request *Request
}

// Endpoint returns the address of the endpoint to dispatch the request to.
func (s *Slot) Endpoint() netip.AddrPort { return s.request.decision.Endpoint }

// RecordToken counts one output token. It is cheap: it takes the router's lock only at the first and every 16th token.
func (s *Slot) RecordToken(now time.Time) {
	if !s.request.countToken() {
		return
	}
	s.router.mu.Lock()
	defer s.router.mu.Unlock()
	s.router.core.RecordProgress(s.request, now)
}

// RecordTokens counts several output tokens.
func (s *Slot) RecordTokens(count int, now time.Time) {
	for range count {
		s.RecordToken(now)
	}
}

// ReserveBackup chooses an endpoint for a backup of the run and reserves memory there. It returns false if no endpoint has room, the run
// already has a backup or it has ended.
func (s *Slot) ReserveBackup(now time.Time) (netip.AddrPort, bool) {
	s.router.mu.Lock()
	defer s.router.mu.Unlock()
	return s.router.core.ReserveBackup(s.request, now)
}

// Resend notes that the run's request is sent to its endpoint once more, which uses a permit if the endpoint limits its rate.
func (s *Slot) Resend(now time.Time) {
	s.router.mu.Lock()
	defer s.router.mu.Unlock()
	s.request.inProgress = true
	s.request.endpoint.quota.take(s.request, now)
}

// Release ends the run and frees the slot; further calls do nothing.
func (s *Slot) Release(outcome Outcome, now time.Time) {
	s.router.update(now, func(c *Core) { c.Release(s.request, outcome, now) })
}

// Decision returns how the request was decided.
func (s *Slot) Decision() Decision {
	s.router.mu.Lock()
	defer s.router.mu.Unlock()
	return s.request.decision
}
