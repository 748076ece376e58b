package hosted

import (
	"time"

	"dogwooddyke/coordination/gossip"
	"dogwooddyke/state/roster"
)

// leavingEndpoints returns the IDs of leaving and gone endpoints for a report, at most maximumReportedLeaving.
func (i *Instance) leavingEndpoints() []string {
	ids := i.roster.GoneOrLeaving()
	return ids[:min(len(ids), maximumReportedLeaving)]
}

// applyUpdates applies the changes of endpoints in another instance's report, and returns those that this instance did not know.
func (i *Instance) applyUpdates(r *gossip.Report) []roster.Change {
	var news []roster.Change
	now := time.Now()
	for _, c := range r.Updates {
		if (i.notOlderThanList(c) || i.confirmsMissing(c)) && i.roster.Apply(c, now) {
			news = append(news, c)
			i.observer.endpointChanged(c, r.From.String())
		}
	}
	changed := len(news) > 0
	for _, id := range r.Leaving {
		if i.roster.MarkLeaving(id, now) {
			changed = true
			i.logger.Info("endpoint leaving", "endpoint", id, "source", r.From)
		}
	}
	if changed {
		i.refreshRouter()
	}
	return news
}

// confirmsMissing reports whether a change removes an endpoint that is missing from this instance's own list. After a restore of the log an
// instance that has known an endpoint for longer can tell sooner whether it has been removed.
func (i *Instance) confirmsMissing(c roster.Change) bool {
	return c.Endpoint == nil && c.Era == i.listPosition().Era && i.roster.IsMissing(c.ID)
}

// recordPeerRead records that another instance has read the endpoint list. It does nothing if this instance has not read the list
// itself before, or if the report shows a change that this instance does not know.
func (i *Instance) recordPeerRead(r *gossip.Report, now time.Time) {
	if i.knownPosition().Before(r.Latest()) {
		signal(i.news)
		return
	}
	if r.ReadAge < 0 {
		return
	}
	at := now.Add(-r.ReadAge)
	if latest := i.latestRead.Load(); latest != nil && latest.Before(at) {
		i.latestRead.Store(&at)
	}
}
