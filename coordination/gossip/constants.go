package gossip

import "time"

const (
	leastExpiry     = 2 * time.Second         // after which an instance that is not heard from has nothing in progress
	missedReports   = 2                       // reports of an instance that may be lost before it expires
	goneExpiries    = 10                      // expiries after which nothing is sent to an instance any more
	leastInterval   = 150 * time.Millisecond  // between two reports to one instance
	reportsPerSec   = 60.0                    // that an instance sends at most, to all others
	wholeInterval   = 2 * time.Second         // between two reports that hold all uses
	tellings        = 2                       // reports that hold a change of a use
	likeness        = 0.1                     // part by which memory may differ, and speed, before it is told
	leastForwarded  = 5                       // instances of another data centre that a report is sent to by one of them
	readers         = 8                       // instances that read the list of endpoints for all others
	readFresh       = 2500 * time.Millisecond // age of a reader's latest read above which another takes its place; a read may wait for a heartbeat
	maximumPeers    = 4096
	maximumLeaving  = 64
	maximumReported = 512 // endpoints in a report
)
