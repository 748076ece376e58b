package routing

import (
	"net/netip"
	"time"
)

// Slot is an admitted request's place on an endpoint; Release must be called once.
type Slot struct {
	router  *Router
	request *Request
}

// Endpoint gives the address to dispatch to.
func (s *Slot) Endpoint() netip.AddrPort { return s.request.decision.Endpoint }

// RecordToken notes one more token; it is cheap, and takes the router's lock at every 16th.
func (s *Slot) RecordToken(now time.Time) {
	if !s.request.countToken() {
		return
	}
	s.router.mu.Lock()
	defer s.router.mu.Unlock()
	s.router.core.RecordProgress(s.request, now)
}

// RecordTokens notes several more tokens.
func (s *Slot) RecordTokens(count int, now time.Time) {
	for range count {
		s.RecordToken(now)
	}
}

// ReserveBackup chooses the endpoint that the run's memory is copied to; false means that none has room.
func (s *Slot) ReserveBackup(now time.Time) (netip.AddrPort, bool) {
	s.router.mu.Lock()
	defer s.router.mu.Unlock()
	return s.router.core.ReserveBackup(s.request, now)
}

// Release gives the place back; a second call does nothing.
func (s *Slot) Release(outcome Outcome, now time.Time) {
	s.router.update(now, func(c *Core) { c.Release(s.request, outcome, now) })
}

// Decision tells how the request was decided.
func (s *Slot) Decision() Decision {
	s.router.mu.Lock()
	defer s.router.mu.Unlock()
	return s.request.decision
}
