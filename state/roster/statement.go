package roster

import "time"

// SetLeavesSince sets the time since which an endpoint itself says that it is leaving, whatever the list says, or zero if it does not say so. It
// reports whether that changed its state.
func (t *Table) SetLeavesSince(id string, since time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entries[id]
	if e == nil || e.gone || e.leavesSince.Equal(since) {
		return false
	}
	before := e.isLeaving()
	e.leavesSince = since
	e.updateNotice(since)
	return e.isLeaving() != before
}

// SetCold sets until when an endpoint is cold by its own word, and reports whether that is news.
func (t *Table) SetCold(id string, until, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entries[id]
	if e == nil || e.gone || !e.becomesCold(until, now) {
		return false
	}
	e.endpoint.ColdUntil = until
	return true
}

// isLeaving reports whether the endpoint takes no new work.
func (e *entry) isLeaving() bool { return e.endpoint.Leaving || !e.leavesSince.IsZero() }

// updateNotice announces that the endpoint is leaving, if it is; otherwise it replaces a notice that has been given by a new one.
func (e *entry) updateNotice(at time.Time) {
	switch {
	case e.isLeaving():
		e.notice.give(at)
	case e.notice.isGiven():
		e.notice = newNotice()
	}
}
