package order

import "time"

// Trigger makes the next Reconcile check an entry that was steady, because one of its engines is known to need an order. During a check,
// which may have read the engine's report already, it makes the next Reconcile check the entry again.
func (r *Runner) Trigger(entry string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, ok := r.entries[entry]
	if !ok {
		return
	}
	s.triggered = true
	if s.plan.Steady {
		s.nextCheck = time.Time{}
	}
}

// beginCheck reports whether an entry is due for a check, and if so records that one begins.
func (r *Runner) beginCheck(s *entryState, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now.Before(s.nextCheck) {
		return false
	}
	s.triggered = false
	return true
}

// endCheck records the plan of a check and when the next one is due.
func (r *Runner) endCheck(s *entryState, plan Plan, engines int, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s.plan = plan
	s.nextCheck = now.Add(checkInterval(plan, engines))
	if s.triggered && plan.Steady {
		s.nextCheck = time.Time{}
	}
}
