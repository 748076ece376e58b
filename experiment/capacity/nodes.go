package capacity

import (
	"math"

	"dogwooddyke/coordination/member"
)

// What a node does at the size to design for, from the design's own constants.
const (
	subset           = 16  // endpoints of one entry that an instance works with
	askRate          = 1   // asks a second for each endpoint or limit in use
	idleAskRate      = 0.1 // asks a second for each endpoint that is not in use
	ticks            = 20  // of the router, a second
	explained        = 4096
	meanGap          = 0.040 // seconds between tokens
	listReadSeconds  = 0.333 // between two reads of the list by all instances together
	newsPerFailure   = 3     // suspected, refuted or not, removed
	newsPerReplaced  = 2     // leaving, joined
	relayCopies      = 5     // one in, four out
	loadPollsSecond  = 2     // of each endpoint by its steward
	limitedWorkspace = 1     // limits asked for with each workspace in use
)

// Derived sizes of one node.
const (
	nodeRequests  = float64(designRequests) / designInstances
	nodeTokens    = float64(designTokens) / designInstances
	nodeEndpoints = float64(subset * designEntries)
	nodeStewarded = float64(designEndpoints) / designInstances
	holders       = designInstances * nodeEndpoints / designEndpoints // of each endpoint's capacity
)

// openAnswers is the number of answers in progress at one instance.
func openAnswers() float64 {
	return nodeTokens * meanGap
}

// distinct returns how many different stewards so many keys have.
func distinct(keys float64) float64 {
	return designInstances * (1 - math.Pow(1-1.0/designInstances, keys))
}

func (s Slopes) entryInstance() []Cost {
	const role = "entry instance"
	decision := (s.each("routeTime", routedRequests)*subset + s.base("routeTime", routedRequests)) * nodeRequests
	hashing := s.each("blocksTime", 1000) * 2 * nodeRequests
	tick := (s.each("tickTime", tickCount)*nodeEndpoints + s.base("tickTime", tickCount)) * ticks
	return []Cost{
		{Role: role, What: "choosing an endpoint", Reckoning: reckon("%.1f requests/s, subset of %d, 2 kB of prompt", nodeRequests, subset), Processor: decision + hashing},
		{
			Role: role, What: "endpoints known", Reckoning: reckon("%d entries × %d, %d ticks/s", designEntries, subset, ticks), Processor: tick,
			Memory: s.each("routerEndpointMemory", 1) * nodeEndpoints,
		},
		{Role: role, What: "explanations", Reckoning: reckon("%d requests", explained), Memory: s.each("ringMemory", 1) * explained},
	}
}

func (s Slopes) neighbour() []Cost {
	const role = "neighbour"
	beats := 2 * member.Neighbours / member.BeatInterval.Seconds() // sent and served
	news := float64(designFailures*newsPerFailure+designReplaced*newsPerReplaced) / secondsPerDay
	reading := listReadSeconds * designInstances
	rows := float64(designInstances + designEndpoints)
	return []Cost{
		{
			Role: role, What: "heartbeats", Reckoning: reckon("%d neighbours each way every %s", member.Neighbours, member.BeatInterval),
			Bytes: s.each("heartbeatBytes", 1) * beats, Processor: s.each("heartbeatTime", 1) * beats / 2,
		},
		{
			Role: role, What: "news of joins, departures, suspicions", Reckoning: reckon("%.3f a second to and from %d peers", news, 2*member.Neighbours),
			Bytes: s.each("newsBytes", 1) * news * 4 * member.Neighbours,
		},
		{
			Role: role, What: "the platform's list", Reckoning: reckon("%.0f rows every %.0f s", rows, reading),
			Bytes: s.each("rosterBytes", 1) * rows / reading, Processor: s.each("rosterTime", listReadings) * rows / reading,
			Memory: s.each("memberMemory", 1) * designInstances,
		},
	}
}

func (s Slopes) relay() []Cost {
	const role = "catalogue relay"
	changes := float64(designChanges) / secondsPerDay
	size := s.each("changeBytes", 1)*entryEndpoints + s.base("changeBytes", 1)
	wire := s.find("changeSpreadBytes").PerItem / (spreadInstances - 1) // one copy to one instance, with 16 endpoints
	small := s.each("changeBytes", 1)*16 + s.base("changeBytes", 1)
	return []Cost{
		{
			Role: role, What: "changes passed on", Reckoning: reckon("%.3f a second, %.0f bytes each in the log, one copy in and up to four out", changes, size),
			Bytes: wire / small * size * relayCopies * changes, Processor: s.each("applyTime", 1) * changes,
		},
		{
			Role: role, What: "the catalogue", Reckoning: reckon("%d entries with %d endpoints, %d workspaces", designEntries, entryEndpoints, designWorkspaces),
			Memory: s.each("entryMemory", 1)*designEntries + s.each("workspaceMemory", 1)*designWorkspaces,
		},
		{Role: role, What: "the log followed", Reckoning: "as an idle instance reads it", Bytes: max(0, s.each("idleLogBytes", 1))},
	}
}

func (s Slopes) endpointSteward() []Cost {
	const role = "steward of an endpoint"
	used := min(openAnswers(), nodeEndpoints)
	asks := used*askRate + (nodeEndpoints-used)*idleAskRate
	calls := distinct(asks)
	bytes := s.each("askEndpointBytes", shareCalls)*asks + s.base("askEndpointBytes", shareCalls)*calls
	micros := s.each("askEndpointTime", shareCalls)*asks + s.base("askEndpointTime", shareCalls)*calls
	return []Cost{
		{
			Role: role, What: "asked and asking for shares", Reckoning: reckon("%.0f endpoints in use once a second, %.0f others every 10 s, %.0f calls/s; as many come in", used, nodeEndpoints-used, calls),
			Bytes: 2 * bytes, Processor: micros,
		},
		{
			Role: role, What: "finding the stewards", Reckoning: reckon("%.0f choices among %d instances a second", asks, designInstances),
			Processor: s.each("rendezvousTime", 1000) * designInstances * asks,
		},
		{
			Role: role, What: "ledgers", Reckoning: reckon("%.1f endpoints × %.0f holders", nodeStewarded, holders),
			Memory: s.each("ledgerMemory", 1) * nodeStewarded * holders,
		},
		{
			Role: role, What: "load reports", Reckoning: reckon("%.1f endpoints × %d reports/s, stand-in's part included", nodeStewarded, loadPollsSecond),
			Bytes: s.each("idleLoadBytes", 1) * nodeStewarded, Processor: s.each("idleEngineTime", 1) * nodeStewarded,
		},
		{
			Role: "entry instance", What: "cache events of engines", Reckoning: reckon("%.0f endpoints, asked every 2 s", nodeEndpoints),
			Bytes: s.each("idleCacheBytes", idleInstances) * nodeEndpoints,
		},
	}
}

func (s Slopes) limitSteward() []Cost {
	const role = "steward of a workspace's limit"
	limits := min(openAnswers(), designWorkspaces) * limitedWorkspace
	calls := distinct(limits)
	bytes := s.each("askLimitBytes", shareCalls)*limits + s.base("askLimitBytes", shareCalls)*calls
	micros := s.each("askLimitTime", shareCalls)*limits + s.base("askLimitTime", shareCalls)*calls
	return []Cost{{
		Role: role, What: "asked and asking for shares", Reckoning: reckon("%.0f workspaces in use, once a second, at %.0f stewards", limits, calls),
		Bytes: 2 * bytes * askRate, Processor: micros * askRate,
	}}
}
