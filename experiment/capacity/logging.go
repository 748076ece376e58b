package capacity

import (
	"dogwooddyke/coordination/claim"
	"dogwooddyke/coordination/lease"
	"dogwooddyke/coordination/replica"
)

// keyedShare is the part of all requests that is taken to carry an idempotency key.
const keyedShare = 0.1

// keyedCalls is the number of keyed calls a second in the whole fleet.
const keyedCalls = keyedShare * designRequests

func (s Slopes) keySteward() []Cost {
	const role = "steward of a key partition"
	calls := keyedCalls / claim.DefaultPartitions
	keys := calls * claim.DefaultWindow.Seconds()
	own := keyedCalls / designInstances
	return []Cost{
		{
			Role: role, What: "claims and results", Reckoning: reckon("%.0f calls/s of %.0f over %d partitions", calls, float64(keyedCalls), claim.DefaultPartitions),
			Bytes:     (s.each("claimBytes", 1)*4/3 + 2*s.each("grantBytes", 1)) * calls,
			Processor: s.each("claimTime", 1) * calls,
		},
		{Role: role, What: "keys remembered", Reckoning: reckon("%.0f keys in %s", keys, claim.DefaultWindow), Memory: s.each("claimMemory", 1) * keys},
		{Role: "entry instance", What: "asking for claims", Reckoning: reckon("%.1f calls/s, a question and a result each", own), Bytes: 2 * s.each("grantBytes", 1) * own},
	}
}

func (s Slopes) leaseholder() []Cost {
	renewals := 1 / lease.RenewInterval.Seconds()
	return []Cost{{
		Role: "leaseholder of an entry", What: "renewals", Reckoning: reckon("one partition of %d, every %s; %d follow it", lease.Partitions, lease.RenewInterval, lease.Candidates),
		Bytes: s.each("leaseBytes", 1) * renewals * 4 / 3 * 2,
	}}
}

// Platform is what one of the platform's services gets from the whole fleet.
type Platform struct {
	Service   string  `json:"service"`
	What      string  `json:"what"`
	Reckoning string  `json:"reckoning"`
	Calls     float64 `json:"calls"` // a second
	Bytes     float64 `json:"bytes"` // a second
}

func (s Slopes) platform() []Platform {
	changes := float64(designChanges) / secondsPerDay
	size := s.each("changeBytes", 1)*entryEndpoints + s.base("changeBytes", 1)
	snapshot := s.each("snapshotEntryBytes", 1)*designEntries + s.each("snapshotWorkspaceBytes", 1)*designWorkspaces
	claims := min(s.each("claimAppends", 1)*keyedCalls, claim.DefaultAppendsPerSecond)
	polls := (designInstances - replica.Seeds) / replica.PollInterval.Seconds()
	list := s.each("rosterBytes", 1) * (designInstances + designEndpoints)
	return []Platform{
		{"log, appends", "claims and results", reckon("%.0f calls/s in groups, at most %d appends/s by setting", float64(keyedCalls), claim.DefaultAppendsPerSecond), claims, s.each("claimBytes", 1) * keyedCalls},
		{"log, appends", "leases", reckon("%d partitions every %s", lease.Partitions, lease.RenewInterval), lease.Partitions / lease.RenewInterval.Seconds(), s.each("leaseBytes", 1) * lease.Partitions / lease.RenewInterval.Seconds()},
		{"log, appends", "catalogue changes", reckon("%d a day", designChanges), changes, size * changes},
		{"log, appends", "catalogue snapshots", reckon("%.0f bytes every %s", snapshot, replica.SnapshotInterval), 1 / replica.SnapshotInterval.Seconds(), snapshot / replica.SnapshotInterval.Seconds()},
		{"log, reads", "catalogue followed", reckon("all but %d instances every %s", replica.Seeds, replica.PollInterval), polls, s.each("idleLogBytes", 1) * designInstances},
		{"list", "reads", reckon("%d rows, one read in the fleet every %.2f s", designInstances+designEndpoints, listReadSeconds), 1 / listReadSeconds, list / listReadSeconds},
		{"operators' command", "one publication", "the stream since the newest snapshot, and one append", 0, snapshot + size},
	}
}

// DayEvents is how often failures and replacements move a duty in a day, over the whole fleet.
type DayEvents struct {
	What      string  `json:"what"`
	Reckoning string  `json:"reckoning"`
	Count     float64 `json:"count"`
}

func dayEvents() []DayEvents {
	moves := float64(designFailures + designReplaced)
	return []DayEvents{
		{"endpoints that change their steward", reckon("%.0f instances × %.2f", moves, nodeStewarded), moves * nodeStewarded},
		{"workspace limits that change their steward", reckon("%.0f instances × %.2f", moves, float64(designWorkspaces)/designInstances), moves * designWorkspaces / designInstances},
		{"key partitions taken over", reckon("%.0f instances × %d/%d", moves, claim.DefaultPartitions, designInstances), moves * claim.DefaultPartitions / designInstances},
		{"leases that run out at a failure", reckon("%d failures × %d/%d", designFailures, lease.Partitions, designInstances), float64(designFailures*lease.Partitions) / designInstances},
		{"answers that callers resume at another instance", reckon("%d failures × %.0f open answers", designFailures, openAnswers()), designFailures * openAnswers()},
	}
}
