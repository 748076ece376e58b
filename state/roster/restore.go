package roster

import "time"

// Merge applies a change from a list that may have been read from a restored log, or that another instance has read from one, and reports
// whether it changed which endpoints take work. A restored log lists endpoints as they were when its copy was made. Such a record must not
// undo what this table has learnt since then; the endpoint itself writes to the list again if it is still alive.
func (t *Table) Merge(c Change, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.merge(c, now)
}

// merge is Merge for a caller that holds the mutex.
func (t *Table) merge(c Change, now time.Time) bool {
	e := t.entries[c.ID]
	if e == nil || c.Endpoint == nil || e.position.Era >= c.Era {
		return t.apply(c, now)
	}
	known := &e.endpoint
	switch {
	case c.Endpoint.Born < known.Born:
		return false
	case e.gone && known.sameProcess(c.Endpoint):
		return false
	case known.Leaving && known.sameProcess(c.Endpoint):
		leaving := *c.Endpoint
		leaving.Leaving = true
		c.Endpoint = &leaving
	}
	return t.apply(c, now)
}

// mayBeMissingIn reports whether the list of an era may lack the endpoint because the copy from which the log was restored is older than the
// endpoint. An endpoint that is older than any copy has been removed from the list since.
func (e *entry) mayBeMissingIn(era int64, now time.Time) bool {
	return e.position.Era < era && now.Sub(e.knownSince) < maximumCopyAge
}
